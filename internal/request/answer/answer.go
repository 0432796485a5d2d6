// Package answer stores the bytes of an answer and releases each of them once and in order.
package answer

import "github.com/dragonflydeal/dragonflydeal/internal/request/call"

// Assembler accepts chunks of one answer, skips the bytes it already released, and rejects chunks that leave a gap.
type Assembler struct {
	// id is the only request whose chunks are accepted.
	id string
	// released is the offset of the first byte that was not released yet.
	released int64
}

// NewAssembler returns an Assembler for an answer that continues at an offset.
func NewAssembler(id string, offset int64) *Assembler {
	return &Assembler{id: id, released: offset}
}

// Offset returns the offset after the last released byte.
func (a *Assembler) Offset() int64 {
	return a.released
}

// Accept returns the bytes of a chunk that were not released before.
// It reports false for a chunk of another request and for one that leaves a gap.
func (a *Assembler) Accept(c *call.Chunk) (data []byte, ok bool) {
	if c.ID != a.id || c.Offset > a.released {
		return nil, false
	}
	skip := a.released - c.Offset
	if skip >= int64(len(c.Data)) {
		return nil, true
	}
	data = c.Data[skip:]
	a.released += int64(len(data))
	return data, true
}

// Ends reports whether a last chunk ends exactly at the last released byte.
func (a *Assembler) Ends(c *call.Chunk) bool {
	return c.Offset+int64(len(c.Data)) == a.released
}

// Buffer stores the bytes of one answer up to a limit.
type Buffer struct {
	// data holds the answer from its start, or nothing once it was dropped.
	data []byte
	// size is the number of bytes that were added.
	size int
	// limit is the largest size in bytes.
	limit int
}

// NewBuffer returns an empty Buffer for at most limit bytes.
func NewBuffer(limit int) *Buffer {
	return &Buffer{limit: limit}
}

// Append adds bytes at the end. It reports false, and adds nothing, when they do not fit.
func (b *Buffer) Append(data []byte) bool {
	if b.size+len(data) > b.limit {
		return false
	}
	b.data = append(b.data, data...)
	b.size += len(data)
	return true
}

// From returns the bytes from an offset on, and whether bytes that belong there were dropped.
// The caller must not change them.
func (b *Buffer) From(offset int64) (data []byte, dropped bool) {
	if offset < 0 || offset >= int64(b.size) {
		return nil, false
	}
	if len(b.data) < b.size {
		return nil, true
	}
	return b.data[offset:b.size:b.size], false
}

// Drop frees the bytes, but keeps their number as the size, and returns how many were freed.
func (b *Buffer) Drop() int {
	held := len(b.data)
	b.data = nil
	return held
}

// Stored returns the number of bytes in memory.
func (b *Buffer) Stored() int {
	return len(b.data)
}

// Size returns the number of bytes that were added.
func (b *Buffer) Size() int64 {
	return int64(b.size)
}
