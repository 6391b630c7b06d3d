package agent

import (
	"context"
	"sync"
	"time"
)

// headerBytes is the approximate overhead of HTTP and TCP for one message.
const headerBytes = 350

// link simulates the network link of one machine. It transmits one message at a time at a fixed rate.
type link struct {
	bytesPerSecond float64

	mutex       sync.Mutex
	freeAt      time.Time // when all queued messages have been transmitted
	transmitted int       // bytes since the last call of takeTransmitted
}

// transmit waits until a message has been transmitted, and returns true. If ctx ends first, transmit returns false, and the unsent
// part of the message does not use the link.
func (l *link) transmit(ctx context.Context, bytes int) bool {
	duration := time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
	l.mutex.Lock()
	start := time.Now()
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	end := start.Add(duration)
	l.freeAt = end
	l.mutex.Unlock()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
		l.addTransmitted(bytes)
		return true
	case <-ctx.Done():
	}
	unsent := min(duration, time.Until(end))
	l.mutex.Lock()
	l.freeAt = l.freeAt.Add(-unsent)
	l.mutex.Unlock()
	l.addTransmitted(int(float64(bytes) * float64(duration-unsent) / float64(duration)))
	return false
}

// addTransmitted adds to the count of transmitted bytes.
func (l *link) addTransmitted(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.transmitted += bytes
}

// takeTransmitted returns the number of bytes transmitted since takeTransmitted was last called.
func (l *link) takeTransmitted() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	transmitted := l.transmitted
	l.transmitted = 0
	return transmitted
}
