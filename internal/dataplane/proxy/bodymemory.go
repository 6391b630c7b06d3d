package proxy

import "sync/atomic"

// bodyMemory limits the total size of the request bodies that are in memory at the same time.
type bodyMemory struct {
	maximum  int64 // bytes
	reserved atomic.Int64
}

// reserve reserves memory for a body of the given length in bytes. It reserves maxLength for a length that is negative,
// which means unknown, or larger than maxLength. It returns false if the reservation would exceed the maximum.
// Otherwise the caller must call release at the end of the request.
func (b *bodyMemory) reserve(length, maxLength int64) (release func(), ok bool) {
	if length < 0 || length > maxLength {
		length = maxLength
	}
	if b.reserved.Add(length) > b.maximum {
		b.reserved.Add(-length)
		return nil, false
	}
	return func() { b.reserved.Add(-length) }, true
}
