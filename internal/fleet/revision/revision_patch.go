package revision

import (
	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// dictionaryID is the dictionary ID of the base for the encoder and the decoder.
	dictionaryID = 1
	// windowSize is large enough for a base and a value of the largest size.
	windowSize = 4 << 20
)

// Patch is the form in which processes send a value: compressed with a base as the dictionary.
type Patch struct {
	// Position identifies the whole value.
	Position
	// Base identifies the base; it is zero if there is none.
	Base Position
	// Data is the compressed value.
	Data []byte
}

// MakePatch compresses a value with a base as the dictionary; the base may be nil.
func MakePatch(base, value *Value) (p *Patch, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "make patch to revision %d", value.Revision)
		}
	}()
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest)}
	p = &Patch{Position: value.Position}
	if base != nil {
		p.Base = base.Position
		options = append(options, zstd.WithWindowSize(windowSize), zstd.WithEncoderDictRaw(dictionaryID, base.Data))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }()
	p.Data = encoder.EncodeAll(value.Data, nil)
	return p, nil
}

// Apply returns the bytes of the whole value; base must be nil if and only if the patch has no base.
func (p *Patch) Apply(base *Value) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "apply patch to revision %d", p.Revision)
		}
	}()
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(configuration.MaxSize)}
	if p.Base != (Position{}) {
		if base == nil || base.Position != p.Base {
			return nil, ErrBase
		}
		options = append(options, zstd.WithDecoderMaxWindow(windowSize), zstd.WithDecoderDictRaw(dictionaryID, base.Data))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	data, err = decoder.DecodeAll(p.Data, nil)
	if err != nil {
		return nil, err
	}
	if Digest(data) != p.Digest {
		return nil, ErrDigest
	}
	return data, nil
}
