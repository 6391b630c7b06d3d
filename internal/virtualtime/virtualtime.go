// Package virtualtime runs tests in bubbles of testing/synctest. Only tests import it.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"

	"puffinlink.example/puffinlink/internal/raceflag"
)

// Test runs a test in a bubble. Under the race detector the process keeps to one processor meanwhile.
//
// The reason is a fault of the Go runtime (seen with 1.26.8): all timers of a bubble share one context of the race detector. A goroutine
// that looks at the channel of a timer which is due runs that timer itself, and so does the root of the bubble. On two processors both
// use the context at once, which ends the process with SIGSEGV in maybeRunChan or with "ThreadSanitizer: CHECK failed". The race detector
// judges by the order of synchronisation, not by what ran at the same moment, so one processor finds the same races.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceflag.On {
		processors.limit()
		defer processors.release()
	}
	synctest.Test(t, f)
}

// processors is the limit of this process.
var processors processorLimit

// processorLimit keeps the process to one processor while any bubble runs; tests of a package may run in parallel.
type processorLimit struct {
	mutex   sync.Mutex
	bubbles int // that run
	before  int // processors before the first of them
}

func (p *processorLimit) limit() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.bubbles == 0 {
		p.before = runtime.GOMAXPROCS(1)
	}
	p.bubbles++
}

func (p *processorLimit) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.bubbles--
	if p.bubbles == 0 {
		runtime.GOMAXPROCS(p.before)
	}
}
