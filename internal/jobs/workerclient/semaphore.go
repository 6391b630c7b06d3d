package workerclient

import "runtime"

// semaphore limits how many of the goroutines that call workers are runnable at once. Thousands of responses may arrive at the same
// time. Without the limit the heartbeats that keep the leader lease would wait in the run queue of the Go scheduler behind all of these
// goroutines. A goroutine does not hold the semaphore while it waits for the network or for a connection. A nil semaphore has no limit.
type semaphore chan struct{}

func newSemaphore() semaphore { return make(semaphore, 1+runtime.GOMAXPROCS(0)) }

func (s semaphore) acquire() {
	if s != nil {
		s <- struct{}{}
	}
}

// releaseWhile releases the semaphore while the given function waits, and then acquires it again.
func (s semaphore) releaseWhile(wait func()) {
	s.release()
	wait()
	s.acquire()
}

func (s semaphore) release() {
	if s != nil {
		<-s
	}
}
