package agent

import (
	"context"
	"sync"
	"time"
)

// headerBytes is about what HTTP and TCP add to a message.
const headerBytes = 350

// link carries the messages of one machine one after the other, at a rate.
type link struct {
	bytesPerSecond float64 // bytes

	mutex       sync.Mutex
	freeAt      time.Time // when the messages that wait have all been sent
	transmitted int       // bytes
}

// carry waits until a message has been sent, and returns false if ctx ends before. What was not sent then frees the link.
func (l *link) transmit(ctx context.Context, bytes int) bool {
	expected := time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
	l.mutex.Lock()
	begins := time.Now()
	if l.freeAt.After(begins) {
		begins = l.freeAt
	}
	ends := begins.Add(expected)
	l.freeAt = ends
	l.mutex.Unlock()
	timer := time.NewTimer(time.Until(ends))
	defer timer.Stop()
	select {
	case <-timer.C:
		l.addTransmitted(bytes)
		return true
	case <-ctx.Done():
	}
	unsent := min(expected, time.Until(ends))
	l.mutex.Lock()
	l.freeAt = l.freeAt.Add(-unsent)
	l.mutex.Unlock()
	l.addTransmitted(int(float64(bytes) * float64(expected-unsent) / float64(expected)))
	return false
}

func (l *link) addTransmitted(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.transmitted += bytes
}

// take returns how many bytes were carried since the last time.
func (l *link) takeTransmitted() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	carried := l.transmitted
	l.transmitted = 0
	return carried
}
