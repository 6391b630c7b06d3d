package storage

import (
	"errors"
	"sync"
)

// pendingWrite is a call of Write that waits until its changes are durable.
type pendingWrite struct {
	changes []Change
	encoded []byte
	done    chan error // receives the result of the write
}

// commitQueue passes the writes of many goroutines to the writer goroutine.
type commitQueue struct {
	wake chan struct{} // has one buffered token while the writer may have work

	mutex         sync.Mutex
	pending       []*pendingWrite
	closed        bool
	terminalError error // the error of all further writes; nil while the queue accepts writes
}

// add queues a write. It returns an error if the store has failed or is closed.
func (q *commitQueue) add(write *pendingWrite) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.terminalError != nil {
		return q.terminalError
	}
	q.pending = append(q.pending, write)
	q.signal()
	return nil
}

// takeBatch removes the oldest writes from the queue and returns them. The batch has at least one write if the queue is not
// empty. It has more only while their encodings together are at most limit bytes long.
func (q *commitQueue) takeBatch(limit int) []*pendingWrite {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count, size := 0, 0
	for count < len(q.pending) {
		size += len(q.pending[count].encoded)
		if count > 0 && size > limit {
			break
		}
		count++
	}
	batch := q.pending[:count:count]
	q.pending = q.pending[count:]
	if len(q.pending) == 0 {
		q.pending = nil
	}
	return batch
}

// fail makes all further writes return err. It reports whether this is the first failure of the store.
func (q *commitQueue) fail(err error) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	first := q.terminalError == nil || q.closed && errors.Is(q.terminalError, ErrClosed)
	if first {
		q.terminalError = err
	}
	return first
}

// close makes further writes return err. Writes that are already queued are still executed.
func (q *commitQueue) close(err error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	if q.terminalError == nil {
		q.terminalError = err
	}
	q.signal()
}

// failure returns the error of queued writes after the store has failed. It returns nil while they can still be executed, also
// after close.
func (q *commitQueue) failure() error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if errors.Is(q.terminalError, ErrClosed) {
		return nil
	}
	return q.terminalError
}

// drained reports whether the queue is closed and empty.
func (q *commitQueue) drained() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.closed && len(q.pending) == 0
}

// signal wakes the writer goroutine.
func (q *commitQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
