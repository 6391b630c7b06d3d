package storage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
)

// ErrCorrupt is the failure of a file that lacks something which was synced. It is never truncated.
var ErrCorrupt = errors.New("the store's file is damaged where it had been synced; " +
	"stop the process, remove the file, and start the process with firstStart=false: it is then rebuilt from the other core mixers")

// openOrCreate reads the file, or makes it where there is none.
func (s *FileStore) openOrCreate() (OpenResult, error) {
	if err := s.files.MakeDirectory(s.directory); err != nil {
		return OpenResult{}, err
	}
	if err := s.files.Remove(s.path(temporaryName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return OpenResult{}, err
	}
	file, err := s.files.Open(s.path(fileName))
	if errors.Is(err, fs.ErrNotExist) {
		return OpenResult{Empty: true}, s.compact()
	}
	if err != nil {
		return OpenResult{}, err
	}
	s.file = file
	truncated, err := s.recover()
	return OpenResult{TruncatedBytes: truncated}, err
}

// recover reads an existing file and truncates an incomplete last record. A process that was killed may have left writes and
// names behind that it did not sync; they are synced here, before anybody reads them.
func (s *FileStore) recover() (truncated int64, err error) {
	size, err := s.file.Seek(0, io.SeekEnd)
	if err != nil {
		return 0, err
	}
	if _, err := s.file.Seek(0, io.SeekStart); err != nil {
		return 0, err
	}
	if err := s.replay(bufio.NewReaderSize(s.file, 1<<16), size); err != nil {
		return 0, err
	}
	if s.length < size {
		if err := s.checkTail(size); err != nil {
			return 0, err
		}
		if err := s.file.Truncate(s.length); err != nil {
			return 0, err
		}
	}
	if _, err := s.file.Seek(s.length, io.SeekStart); err != nil {
		return 0, err
	}
	if err := s.file.Sync(); err != nil {
		return 0, err
	}
	return size - s.length, s.files.SyncDirectory(s.directory)
}

// replay applies records up to the first corrupt one, whose offset it leaves in s.length.
func (s *FileStore) replay(reader io.Reader, size int64) error {
	if size < int64(headerLength) {
		return fmt.Errorf("%w (%d bytes long)", ErrCorrupt, size)
	}
	header := make([]byte, headerLength)
	if _, err := io.ReadFull(reader, header); err != nil {
		return err
	}
	number, err := decodeHeader(header)
	if err != nil {
		return fmt.Errorf("%w (header)", ErrCorrupt)
	}
	s.fileNumber = number
	s.length = int64(headerLength)
	complete, err := s.replayRecords(reader, size)
	if err == nil && !complete {
		return fmt.Errorf("%w (first part, byte %d)", ErrCorrupt, s.length)
	}
	return err
}

// replayRecords tells whether the end of the snapshot was among the valid records.
func (s *FileStore) replayRecords(reader io.Reader, size int64) (complete bool, err error) {
	for s.length < size {
		next, err := readRecord(reader, s.fileNumber, s.length, size-s.length)
		if errors.Is(err, errCorruptRecord) {
			return complete, nil
		}
		if err != nil {
			return complete, fmt.Errorf("read record at byte %d: %w", s.length, err)
		}
		s.contents.apply(next.changes)
		s.length += next.length
		complete = complete || next.kind == snapshotEnd
	}
	return complete, nil
}

// checkTail decides whether the bytes after the last valid record may be truncated. Each record is synced before the next
// one is written, so only the last one may be incomplete; a whole record behind it proves that it had been synced.
func (s *FileStore) checkTail(size int64) error {
	if _, err := s.file.Seek(s.length, io.SeekStart); err != nil {
		return err
	}
	tail := make([]byte, size-s.length)
	if _, err := io.ReadFull(s.file, tail); err != nil {
		return err
	}
	if containsRecord(tail, s.fileNumber, s.length) {
		return fmt.Errorf("%w (record at byte %d)", ErrCorrupt, s.length)
	}
	return nil
}
