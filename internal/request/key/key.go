// Package key encodes and parses idempotency keys. A key names its home, the only slot process that may run its call.
package key

import (
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Prefix starts every key of this system.
const Prefix = "dd1."

const (
	// Lifetime is how long a key is guaranteed to be valid after it was minted.
	Lifetime = 10 * time.Minute
	// MaxClockSkew is the largest allowed difference between the wall clocks of two instances.
	MaxClockSkew = 30 * time.Second
)

const (
	// fixedSize is the size in bytes of the fields other than Home.
	fixedSize = 8 + 8 + 8 + 8
	// checksumSize is the size in bytes of the checksum.
	checksumSize = 8
	// maxHomeSize is the largest size in bytes of Home.
	maxHomeSize = 128
)

// ErrFormat reports text that is not a key of this system.
var ErrFormat = merry.Sentinel("not a key of this system")

// Key identifies one non-idempotent call.
type Key struct {
	// Home is the name of the target whose slot alone may run the call.
	Home string
	// Incarnation identifies the home's slot process; no other process runs the call.
	Incarnation uint64
	// Minted is the wall time at which the key was minted, in whole milliseconds.
	Minted time.Time
	// Random makes the key unique.
	Random uint64
	// Workspace is the hash of the only workspace that may use the key.
	Workspace uint64
}

// WorkspaceHash returns the value for Key.Workspace.
func WorkspaceHash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Expired reports whether a home with this wall time refuses the key for good.
func (k Key) Expired(wall time.Time) bool {
	return wall.Sub(k.Minted) > Lifetime+MaxClockSkew
}

// FromFuture reports whether the key was minted further in the future than MaxClockSkew.
func (k Key) FromFuture(wall time.Time) bool {
	return k.Minted.Sub(wall) > MaxClockSkew
}

// HasSystemPrefix reports whether text has the prefix of this system's keys; the key may be damaged.
func HasSystemPrefix(text string) bool {
	return strings.HasPrefix(text, Prefix)
}

// String encodes the key as callers send it.
func (k Key) String() string {
	b := make([]byte, 0, fixedSize+len(k.Home)+checksumSize)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Minted.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, k.Random)
	b = binary.BigEndian.AppendUint64(b, k.Workspace)
	b = append(b, k.Home...)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
	return Prefix + base64.RawURLEncoding.EncodeToString(b)
}

// Parse decodes a key. The checksum detects accidental changes; it does not prove the key's origin.
func Parse(text string) (k Key, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "parse idempotency key")
		}
	}()
	coded, ok := strings.CutPrefix(text, Prefix)
	if !ok || len(coded) > base64.RawURLEncoding.EncodedLen(fixedSize+maxHomeSize+checksumSize) {
		return Key{}, ErrFormat
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(coded)
	if err != nil || len(b) <= fixedSize+checksumSize {
		return Key{}, ErrFormat
	}
	// The decoder skips line breaks, but records are looked up by the text of the key, so a key must have one encoding.
	if strings.ContainsAny(coded, "\r\n") {
		return Key{}, ErrFormat
	}
	body, sum := b[:len(b)-checksumSize], b[len(b)-checksumSize:]
	if binary.BigEndian.Uint64(sum) != xxhash.Sum64(body) {
		return Key{}, ErrFormat
	}
	return Key{
		Incarnation: binary.BigEndian.Uint64(body),
		Minted:      time.UnixMilli(int64(binary.BigEndian.Uint64(body[8:]))),
		Random:      binary.BigEndian.Uint64(body[16:]),
		Workspace:   binary.BigEndian.Uint64(body[24:]),
		Home:        string(body[fixedSize:]),
	}, nil
}
