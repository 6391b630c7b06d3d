package workerclient

import "runtime"

// semaphore bounds how many of the goroutines that call workers run at once. The others wait outside of the runtime's queue of
// goroutines, so that thousands of responses that come together do not delay what keeps the leader lease: its heartbeats queue behind
// a few goroutines and not behind all of them. Whoever waits for the network or for a connection is outside. A nil semaphore bounds
// nothing.
type semaphore chan struct{}

func newSemaphore() semaphore { return make(semaphore, 1+runtime.GOMAXPROCS(0)) }

func (s semaphore) acquire() {
	if s != nil {
		s <- struct{}{}
	}
}

// outside gives up the place while a function waits.
func (s semaphore) outside(wait func()) {
	s.release()
	wait()
	s.acquire()
}

func (s semaphore) release() {
	if s != nil {
		<-s
	}
}
