package storage

import (
	"errors"
	"fmt"
	"time"
)

// minSnapshotRecordBytes is the payload length in bytes at which a snapshot record is written and the next one is started.
const minSnapshotRecordBytes = 1 << 20

// compactionThreshold returns the file length in bytes above which the file is compacted. It grows with the live data, so that
// compaction is a bounded share of all bytes written. Where possible, it keeps the old and the new file together within
// Options.SizeLimit.
func (s *FileStore) compactionThreshold() int64 {
	live := s.contents.estimatedBytes // read without the lock because only this goroutine modifies it
	limit := s.options.SizeLimit
	margin := min(maxBatchBytes, limit/8) // the file can exceed the threshold by one batch
	threshold := min(compactionGrowthFactor*live, limit-live-margin)
	threshold = max(threshold, live+live/4)
	return max(threshold, min(s.options.CompactAbove, limit/4))
}

// compactIfNeeded compacts the file if it is longer than the threshold. If the disk has no space for the new file, the store
// continues with the current one and retries after CompactionBackoff.
func (s *FileStore) compactIfNeeded() error {
	if s.fileLength <= s.compactionThreshold() || time.Now().Before(s.compactNotBefore) {
		return nil
	}
	err := s.compact()
	if errors.Is(err, ErrWriteRejected) {
		s.compactNotBefore = time.Now().Add(CompactionBackoff)
		return nil
	}
	return err
}

// compact replaces the file by a new one that holds only the live data. The new file is synced before it is renamed over the
// old one. Nothing is appended to it before the directory is synced. A power loss may leave either file under the name, and
// both hold every acknowledged write. If the error is ErrWriteRejected, the store continues with the current file.
func (s *FileStore) compact() error {
	next, err := s.files.Create(s.path(temporaryFileName))
	if err != nil {
		return newWriteRejectedError(fmt.Errorf("compact store: %w", err))
	}
	writer := snapshotWriter{file: next, fileID: newFileID()}
	if err := s.writeSnapshot(&writer); err != nil {
		_ = next.Close()                              // the file is discarded
		_ = s.files.Remove(s.path(temporaryFileName)) // frees the space; if it fails, the next attempt truncates the file
		return newWriteRejectedError(fmt.Errorf("compact store: %w", err))
	}
	if err := s.replaceFile(next); err != nil {
		_ = next.Close() // the store fails with the earlier error
		return fmt.Errorf("compact store: %w", err)
	}
	previous := s.file
	s.file, s.fileID, s.fileLength = next, writer.fileID, writer.length
	if previous != nil {
		return previous.Close()
	}
	return nil
}

func (s *FileStore) writeSnapshot(writer *snapshotWriter) error {
	if err := writer.write(encodeFileHeader(writer.fileID)); err != nil {
		return err
	}
	// No lock is needed for reading: values are immutable, and only this goroutine modifies the tables.
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
	return writer.writeRecord(snapshotEndKind, nil)
}

// replaceFile syncs the new file, renames it over the current one and syncs the directory.
func (s *FileStore) replaceFile(next File) error {
	if err := next.Sync(); err != nil {
		return err
	}
	if err := s.files.Rename(s.path(temporaryFileName), s.path(fileName)); err != nil {
		return err
	}
	return s.files.SyncDirectory(s.directory)
}

// snapshotWriter writes the file header and the snapshot records of a new file.
type snapshotWriter struct {
	file    File
	fileID  uint64
	length  int64
	payload []byte // of the next record
}

func (w *snapshotWriter) add(change Change) error {
	payload, err := appendChanges(w.payload, []Change{change})
	if err != nil {
		return err
	}
	w.payload = payload
	if len(w.payload) < minSnapshotRecordBytes {
		return nil
	}
	return w.flush()
}

func (w *snapshotWriter) flush() error {
	if len(w.payload) == 0 {
		return nil
	}
	err := w.writeRecord(snapshotRecordKind, w.payload)
	w.payload = w.payload[:0]
	return err
}

func (w *snapshotWriter) writeRecord(kind recordKind, payload []byte) error {
	head := appendRecordHeader(nil, w.fileID, w.length, kind, payload)
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
