package revision

import (
	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// dictionary is the number by which encoder and decoder name the base.
	dictionary = 1
	// window covers a base and a value of the largest size.
	window = 4 << 20
)

// Patch is a value as it travels between processes: compressed against a base.
type Patch struct {
	// Position is that of the whole value.
	Position
	// Base is that of the value that Data was compressed against; zero for none.
	Base Position
	// Data is the compressed value.
	Data []byte
}

// MakePatch compresses a value against a base, which may be nil.
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
		options = append(options, zstd.WithWindowSize(window), zstd.WithEncoderDictRaw(dictionary, base.Data))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }()
	p.Data = encoder.EncodeAll(value.Data, nil)
	return p, nil
}

// Apply returns the whole value's bytes; base is nil exactly when the patch has no base.
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
		options = append(options, zstd.WithDecoderMaxWindow(window), zstd.WithDecoderDictRaw(dictionary, base.Data))
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
