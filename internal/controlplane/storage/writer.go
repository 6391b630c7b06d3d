package storage

import (
	"errors"
	"fmt"
)

// run is the writer: it takes what is queued, until the store is closed.
func (s *FileStore) run() {
	defer close(s.ended)
	for range s.queue.wake {
		for batch := s.queue.take(maxBatchBytes); len(batch) > 0; batch = s.queue.take(maxBatchBytes) {
			s.commit(batch)
		}
		if s.queue.finished() {
			return
		}
	}
}

// commit makes a batch durable and answers its writers.
func (s *FileStore) commit(batch []*commit) {
	err := s.queue.failure()
	if err == nil {
		err = s.append(batch)
	}
	if err == nil {
		s.apply(batch)
	}
	for _, c := range batch {
		c.done <- err
	}
	if err == nil {
		err = s.compactIfLong()
	}
	if err != nil && !errors.Is(err, ErrWriteRejected) {
		s.fail(err)
	}
}

func (s *FileStore) append(batch []*commit) error {
	if err := s.rejection.current(); err != nil {
		return err
	}
	var payload []byte
	if len(batch) == 1 {
		payload = batch[0].encoded
	} else {
		for _, c := range batch {
			payload = append(payload, c.encoded...)
		}
	}
	s.buffer = appendRecordHead(s.buffer[:0], s.fileNumber, s.length, writeRecord, payload)
	s.buffer = append(s.buffer, payload...)
	if written, err := s.file.Write(s.buffer); err != nil {
		return s.rollBack(written, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync store: %w", err)
	}
	s.length += int64(len(s.buffer))
	if len(s.buffer) > maxBatchBytes {
		s.buffer = nil
	}
	return nil
}

func (s *FileStore) apply(batch []*commit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range batch {
		s.contents.apply(c.changes)
	}
}

func (s *FileStore) fail(err error) {
	if s.queue.fail(err) {
		close(s.failed)
	}
}
