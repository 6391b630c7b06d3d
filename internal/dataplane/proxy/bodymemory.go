package proxy

import "sync/atomic"

// bodyMemory bounds the bytes of request bodies that are held at the same time.
type bodyMemory struct {
	maximum  int64
	reserved atomic.Int64
}

// reserve takes memory for a body of the stated length; a negative length is unknown and counts as the most allowed.
// It returns false when too much may wait. The caller calls release when the request has ended.
func (b *bodyMemory) reserve(length, most int64) (release func(), ok bool) {
	if length < 0 || length > most {
		length = most
	}
	if b.reserved.Add(length) > b.maximum {
		b.reserved.Add(-length)
		return nil, false
	}
	return func() { b.reserved.Add(-length) }, true
}
