package storage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
)

// ErrCorrupt is the error of opening a file in which synced data is damaged or missing. Such a file is never truncated.
var ErrCorrupt = errors.New("synced data in the store's file is damaged or missing; " +
	"stop the process, remove the file, and start the process with firstStart=false: it is then rebuilt from the other core mixers")

// openOrCreate reads the file, or creates it if there is none.
func (s *FileStore) openOrCreate() (OpenResult, error) {
	if err := s.files.MakeDirectory(s.directory); err != nil {
		return OpenResult{}, err
	}
	if err := s.files.Remove(s.path(temporaryFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
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

// recover reads an existing file and truncates an incomplete last record. The last process may have been killed before it
// synced its writes or its rename. recover syncs the file and its directory before the store serves any read.
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
	if s.fileLength < size {
		if err := s.checkTail(size); err != nil {
			return 0, err
		}
		if err := s.file.Truncate(s.fileLength); err != nil {
			return 0, err
		}
	}
	if _, err := s.file.Seek(s.fileLength, io.SeekStart); err != nil {
		return 0, err
	}
	if err := s.file.Sync(); err != nil {
		return 0, err
	}
	return size - s.fileLength, s.files.SyncDirectory(s.directory)
}

// replay applies the records up to the first corrupt one. Afterwards s.fileLength is the offset of that record.
func (s *FileStore) replay(reader io.Reader, size int64) error {
	if size < int64(fileHeaderLength) {
		return fmt.Errorf("%w (%d bytes long)", ErrCorrupt, size)
	}
	header := make([]byte, fileHeaderLength)
	if _, err := io.ReadFull(reader, header); err != nil {
		return err
	}
	fileID, err := decodeFileHeader(header)
	if err != nil {
		return fmt.Errorf("%w (header)", ErrCorrupt)
	}
	s.fileID = fileID
	s.fileLength = int64(fileHeaderLength)
	complete, err := s.applyRecords(reader, size)
	if err == nil && !complete {
		return fmt.Errorf("%w (snapshot, byte %d)", ErrCorrupt, s.fileLength)
	}
	return err
}

// applyRecords applies the records up to the first corrupt one. It reports whether the snapshot is complete, that is, whether
// its end record was among them.
func (s *FileStore) applyRecords(reader io.Reader, size int64) (complete bool, err error) {
	for s.fileLength < size {
		next, err := readRecord(reader, s.fileID, s.fileLength, size-s.fileLength)
		if errors.Is(err, errCorruptRecord) {
			return complete, nil
		}
		if err != nil {
			return complete, fmt.Errorf("read record at byte %d: %w", s.fileLength, err)
		}
		s.contents.apply(next.changes)
		s.fileLength += next.length
		complete = complete || next.kind == snapshotEndKind
	}
	return complete, nil
}

// checkTail returns ErrCorrupt if the bytes after the last valid record must not be truncated. Each record is synced before
// the next one is written, so only the last one may be incomplete. A valid record after a damaged one proves that the damaged
// one had been synced.
func (s *FileStore) checkTail(size int64) error {
	if _, err := s.file.Seek(s.fileLength, io.SeekStart); err != nil {
		return err
	}
	tail := make([]byte, size-s.fileLength)
	if _, err := io.ReadFull(s.file, tail); err != nil {
		return err
	}
	if containsRecord(tail, s.fileID, s.fileLength) {
		return fmt.Errorf("%w (record at byte %d)", ErrCorrupt, s.fileLength)
	}
	return nil
}
