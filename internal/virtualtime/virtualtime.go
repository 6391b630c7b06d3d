// Package virtualtime runs tests in bubbles of testing/synctest, and works around a fault of the Go runtime under the race
// detector. All tests in a bubble must use it. Only tests import this package.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"

	"puffinlink.example/puffinlink/internal/raceflag"
)

// Test runs a test in a bubble. Under the race detector it sets GOMAXPROCS to 1 for the duration of the test.
//
// The reason is a fault of the Go runtime (seen with 1.26.8): all timers of a bubble share one context of the race detector. A
// goroutine that reads or polls the channel of a due timer runs that timer itself, and so does the root goroutine of the
// bubble. On two processors both may use the context concurrently. The process then ends with SIGSEGV in maybeRunChan or with
// "ThreadSanitizer: CHECK failed". With one processor the race detector still finds the same races, because it relies on the
// order of synchronization events and not on actual parallel execution.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceflag.Enabled {
		processLimit.limit()
		defer processLimit.release()
	}
	synctest.Test(t, f)
}

// processLimit is the limit for this process.
var processLimit processorLimit

// processorLimit limits the process to one processor while at least one bubble is running. It counts bubbles because tests of
// a package may run in parallel.
type processorLimit struct {
	mutex          sync.Mutex
	runningBubbles int
	previous       int // GOMAXPROCS before the first bubble
}

func (p *processorLimit) limit() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.runningBubbles == 0 {
		p.previous = runtime.GOMAXPROCS(1)
	}
	p.runningBubbles++
}

func (p *processorLimit) release() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.runningBubbles--
	if p.runningBubbles == 0 {
		runtime.GOMAXPROCS(p.previous)
	}
}
