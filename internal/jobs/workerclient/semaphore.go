package workerclient

import "runtime"

// semaphore lets few of the goroutines that call workers work at once. The others wait outside of the runtime's queue of
// goroutines, so that thousands of answers that come together do not hold up what keeps a leader's lease: its heartbeats
// queue behind a few goroutines and not behind all of them. Who waits for the network or for a turn is outside.
// A nil one lets everyone pass.
type semaphore chan struct{}

func newSemaphore() semaphore { return make(semaphore, 1+runtime.GOMAXPROCS(0)) }

func (s semaphore) acquire() {
	if s != nil {
		s <- struct{}{}
	}
}

func (s semaphore) release() {
	if s != nil {
		<-s
	}
}
