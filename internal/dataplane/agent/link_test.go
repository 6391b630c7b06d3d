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
	perSecond float64 // bytes

	mutex   sync.Mutex
	free    time.Time // when the messages that wait have all been sent
	carried int       // bytes
}

// carry waits until a message has been sent, and returns false if ctx ends before. What was not sent then frees the link.
func (l *link) carry(ctx context.Context, bytes int) bool {
	expected := time.Duration(float64(bytes) / l.perSecond * float64(time.Second))
	l.mutex.Lock()
	begins := time.Now()
	if l.free.After(begins) {
		begins = l.free
	}
	ends := begins.Add(expected)
	l.free = ends
	l.mutex.Unlock()
	timer := time.NewTimer(time.Until(ends))
	defer timer.Stop()
	select {
	case <-timer.C:
		l.count(bytes)
		return true
	case <-ctx.Done():
	}
	unsent := min(expected, time.Until(ends))
	l.mutex.Lock()
	l.free = l.free.Add(-unsent)
	l.mutex.Unlock()
	l.count(int(float64(bytes) * float64(expected-unsent) / float64(expected)))
	return false
}

func (l *link) count(bytes int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.carried += bytes
}

// take returns how many bytes were carried since the last time.
func (l *link) take() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	carried := l.carried
	l.carried = 0
	return carried
}
