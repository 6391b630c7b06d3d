package storage

import (
	"errors"
	"fmt"
)

// runWriter is the writer goroutine. It executes the queued writes until the store is closed.
func (s *FileStore) runWriter() {
	defer close(s.writerDone)
	for range s.queue.wake {
		for batch := s.queue.takeBatch(maxBatchBytes); len(batch) > 0; batch = s.queue.takeBatch(maxBatchBytes) {
			s.commitBatch(batch)
		}
		if s.queue.drained() {
			return
		}
	}
}

// commitBatch makes a batch durable, applies it to the tables and sends each caller of Write its result. Then it compacts the
// file if needed.
func (s *FileStore) commitBatch(batch []*pendingWrite) {
	err := s.queue.failure()
	if err == nil {
		err = s.append(batch)
	}
	if err == nil {
		s.applyBatch(batch)
	}
	for _, write := range batch {
		write.done <- err
	}
	if err == nil {
		err = s.compactIfNeeded()
	}
	if err != nil && !errors.Is(err, ErrWriteRejected) {
		s.fail(err)
	}
}

// append appends a batch to the file as one record and syncs the file.
func (s *FileStore) append(batch []*pendingWrite) error {
	if err := s.rejection.current(); err != nil {
		return err
	}
	var payload []byte
	if len(batch) == 1 {
		payload = batch[0].encoded
	} else {
		for _, write := range batch {
			payload = append(payload, write.encoded...)
		}
	}
	s.buffer = appendRecordHeader(s.buffer[:0], s.fileID, s.fileLength, writeRecordKind, payload)
	s.buffer = append(s.buffer, payload...)
	if written, err := s.file.Write(s.buffer); err != nil {
		return s.rollBack(written, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync store: %w", err)
	}
	s.fileLength += int64(len(s.buffer))
	if len(s.buffer) > maxBatchBytes {
		s.buffer = nil
	}
	return nil
}

func (s *FileStore) applyBatch(batch []*pendingWrite) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, write := range batch {
		s.contents.apply(write.changes)
	}
}

// fail makes the store fail for good.
func (s *FileStore) fail(err error) {
	if s.queue.fail(err) {
		close(s.failed)
	}
}
