package storage

import (
	"errors"
	"fmt"
	"time"
)

// snapshotRecordBytes is the length in bytes at which a snapshot record is ended.
const snapshotRecordBytes = 1 << 20

// compactionThreshold is the length above which the file is compacted. It grows with the live data, so that compaction costs a
// bounded part of all writing, and keeps the old and the new file within the limit together while that is possible.
func (s *FileStore) compactionThreshold() int64 {
	live := s.contents.bytes // only this goroutine changes it
	limit := s.options.SizeLimit
	margin := min(maxBatchBytes, limit/8) // the file is longer than the threshold by up to one batch
	threshold := min(compactionGrowth*live, limit-live-margin)
	threshold = max(threshold, live+live/4)
	return max(threshold, min(s.options.CompactAbove, limit/4))
}

// compactIfLong compacts the file if it is too long. Where there is no space for that, the file stays in use as it is.
func (s *FileStore) compactIfLong() error {
	if s.length <= s.compactionThreshold() || time.Now().Before(s.compactNotBefore) {
		return nil
	}
	err := s.compact()
	if errors.Is(err, ErrWriteRejected) {
		s.compactNotBefore = time.Now().Add(CompactionBackoff)
		return nil
	}
	return err
}

// compact replaces the file by one that holds only the live data. The new file has all of it synced before it takes the
// name, and nothing is written to it before the name is synced; so whichever of the two files a loss of power leaves
// under the name, it holds every acknowledged write. After ErrWriteRejected the present file stays the store's.
func (s *FileStore) compact() error {
	next, err := s.files.Create(s.path(temporaryName))
	if err != nil {
		return rejectedWrite(fmt.Errorf("compact store: %w", err))
	}
	writer := snapshotWriter{file: next, fileNumber: newFileNumber()}
	if err := s.writeSnapshot(&writer); err != nil {
		_ = next.Close()                          // the file is given up
		_ = s.files.Remove(s.path(temporaryName)) // to free its space; what stays is emptied by the next attempt
		return rejectedWrite(fmt.Errorf("compact store: %w", err))
	}
	if err := s.replaceFile(next); err != nil {
		_ = next.Close() // the store ends with the error before
		return fmt.Errorf("compact store: %w", err)
	}
	previous := s.file
	s.file, s.fileNumber, s.length = next, writer.fileNumber, writer.length
	if previous != nil {
		return previous.Close()
	}
	return nil
}

func (s *FileStore) writeSnapshot(writer *snapshotWriter) error {
	if err := writer.write(encodeHeader(writer.fileNumber)); err != nil {
		return err
	}
	// Values are immutable and only this goroutine changes the tables, so reading them needs no lock.
	for name, table := range s.contents.tables {
		for key, value := range table {
			if err := writer.add(Change{Table: name, Key: key, Value: value}); err != nil {
				return err
			}
		}
	}
	if err := writer.flush(); err != nil {
		return err
	}
	return writer.record(snapshotEnd, nil)
}

// replaceFile syncs the new file and gives it the name.
func (s *FileStore) replaceFile(next File) error {
	if err := next.Sync(); err != nil {
		return err
	}
	if err := s.files.Rename(s.path(temporaryName), s.path(fileName)); err != nil {
		return err
	}
	return s.files.SyncDirectory(s.directory)
}

// snapshotWriter writes the beginning of a new file.
type snapshotWriter struct {
	file       File
	fileNumber uint64
	length     int64
	payload    []byte
}

func (w *snapshotWriter) add(change Change) error {
	payload, err := appendChanges(w.payload, []Change{change})
	if err != nil {
		return err
	}
	w.payload = payload
	if len(w.payload) < snapshotRecordBytes {
		return nil
	}
	return w.flush()
}

func (w *snapshotWriter) flush() error {
	if len(w.payload) == 0 {
		return nil
	}
	err := w.record(snapshotRecord, w.payload)
	w.payload = w.payload[:0]
	return err
}

func (w *snapshotWriter) record(kind recordKind, payload []byte) error {
	head := appendRecordHead(nil, w.fileNumber, w.length, kind, payload)
	if err := w.write(head); err != nil {
		return err
	}
	return w.write(payload)
}

func (w *snapshotWriter) write(content []byte) error {
	if len(content) == 0 {
		return nil
	}
	if _, err := w.file.Write(content); err != nil {
		return err
	}
	w.length += int64(len(content))
	return nil
}
