package replication

import (
	"sync"
	"testing"
)

// Calls of other members begin tasks while a node waits for its tasks at its shutdown: guards against the panic of a sync.WaitGroup that is
// used again while its Wait returns, which ended the process.
func TestTasksMayBeginWhileShutdownWaits(t *testing.T) {
	const rounds, callers = 2000, 4
	var group taskGroup
	var calls sync.WaitGroup
	for range rounds {
		group.add(1)
		idle := group.idleSignal()
		for range callers {
			calls.Go(func() { group.run(func() {}) })
		}
		group.done()
		<-idle
	}
	calls.Wait()
	<-group.idleSignal()
	if group.running != 0 {
		t.Errorf("%d tasks run after all have ended", group.running)
	}
}
