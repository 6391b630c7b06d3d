package proxy

import (
	"context"
	"sync"
	"time"
)

const (
	pauseTickInterval = 250 * time.Millisecond // time between two ticks of a process that runs
	minDetectedPause  = 2 * time.Second        // a longer time without a tick was a pause of the process, and no lack of processors
	wakeUpTime        = 200 * time.Millisecond // time after a pause in which requests are read that arrived during it
)

// pauseDetector tells how long a request may have waited in its socket before it was read. The operating system does not say when bytes
// arrived, but a process that runs reads them at once. So only requests that are read right after a pause of the process have waited.
type pauseDetector struct {
	mutex      sync.Mutex
	lastTick   time.Time // zero before the first
	pauseBegan time.Time // of the latest pause: its last tick before
	pauseEnded time.Time
}

// run ticks until the context ends.
func (p *pauseDetector) run(ctx context.Context) {
	ticker := time.NewTicker(pauseTickInterval)
	defer ticker.Stop()
	p.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick(time.Now())
		}
	}
}

// tick records that the process runs.
func (p *pauseDetector) tick(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wasPaused(now) {
		p.pauseBegan, p.pauseEnded = p.lastTick, now
	}
	p.lastTick = now
}

// wasPaused reports whether the process was paused since the last tick. The mutex must be held.
func (p *pauseDetector) wasPaused(now time.Time) bool {
	return !p.lastTick.IsZero() && now.Sub(p.lastTick) > minDetectedPause
}

// earliestArrival returns the earliest time at which a request may have arrived that is read now.
func (p *pauseDetector) earliestArrival(now time.Time) time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.wasPaused(now):
		return p.lastTick
	case now.Sub(p.pauseEnded) < wakeUpTime:
		return p.pauseBegan
	}
	return now
}
