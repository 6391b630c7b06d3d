package storage

import (
	"errors"
	"sync"
)

// commit is one write that waits for the disk.
type commit struct {
	changes []Change
	encoded []byte
	done    chan error
}

// commitQueue hands the writes of many goroutines to the writer.
type commitQueue struct {
	wake chan struct{} // holds a token while there may be something to do

	mutex      sync.Mutex
	waiting    []*commit
	closed     bool
	rejectWith error // the error of all further writes; nil while they are taken
}

// add queues a write, unless the store has failed or is closed.
func (q *commitQueue) add(c *commit) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.rejectWith != nil {
		return q.rejectWith
	}
	q.waiting = append(q.waiting, c)
	q.signal()
	return nil
}

// take removes the oldest writes, of at least one and about limit bytes together.
func (q *commitQueue) take(limit int) []*commit {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	count, size := 0, 0
	for count < len(q.waiting) {
		size += len(q.waiting[count].encoded)
		if count > 0 && size > limit {
			break
		}
		count++
	}
	batch := q.waiting[:count:count]
	q.waiting = q.waiting[count:]
	if len(q.waiting) == 0 {
		q.waiting = nil
	}
	return batch
}

// fail lets no more writes in and tells whether this was the first failure.
func (q *commitQueue) fail(err error) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	first := q.rejectWith == nil || q.closed && errors.Is(q.rejectWith, ErrClosed)
	if first {
		q.rejectWith = err
	}
	return first
}

// close takes no more writes, which fail with err; those that are queued are still carried out.
func (q *commitQueue) close(err error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = true
	if q.rejectWith == nil {
		q.rejectWith = err
	}
	q.signal()
}

// failure is why a write that is queued cannot be carried out any more.
func (q *commitQueue) failure() error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if errors.Is(q.rejectWith, ErrClosed) {
		return nil
	}
	return q.rejectWith
}

// finished tells whether the queue is closed and empty.
func (q *commitQueue) finished() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.closed && len(q.waiting) == 0
}

// signal wakes the writer.
func (q *commitQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
