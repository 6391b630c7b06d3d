package storagetest

import (
	"errors"
	"io"
	"slices"
)

// openFile is an open file of a Disk. It implements storage.File.
type openFile struct {
	disk     *Disk
	inode    *inode
	name     string
	position int
}

// Read implements io.Reader.
func (f *openFile) Read(buffer []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.powerLost {
		return 0, ErrPowerLost
	}
	if f.position >= len(f.inode.content) {
		return 0, io.EOF
	}
	count := copy(buffer, f.inode.content[f.position:])
	f.position += count
	return count, nil
}

// Write implements io.Writer. On a full disk it writes as many bytes as there is space for and returns ErrFull.
func (f *openFile) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	written := 0
	err := f.disk.runOperation(func() error {
		fitting := data[:min(len(data), f.freeSpace())]
		f.applyEdit(edit{offset: f.position, data: append([]byte{}, fitting...)})
		f.position += len(fitting)
		written = len(fitting)
		if written < len(data) {
			return ErrFull
		}
		return nil
	})
	return written, err
}

func (f *openFile) freeSpace() int {
	if f.disk.capacityBytes == 0 {
		return int(^uint(0) >> 1)
	}
	return max(0, f.disk.capacityBytes-f.disk.usedBytes())
}

func (f *openFile) applyEdit(change edit) {
	f.inode.edits = append(f.inode.edits, change)
	f.inode.content = change.applyTo(f.inode.content)
}

// Seek implements io.Seeker.
func (f *openFile) Seek(offset int64, whence int) (int64, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	switch whence {
	case io.SeekStart:
		f.position = int(offset)
	case io.SeekEnd:
		f.position = len(f.inode.content) + int(offset)
	default:
		return 0, errors.ErrUnsupported
	}
	return int64(f.position), nil
}

// Truncate implements storage.File.
func (f *openFile) Truncate(length int64) error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.disk.runOperation(func() error {
		if f.disk.failTruncate {
			return ErrTruncate
		}
		f.applyEdit(edit{offset: int(length)})
		return nil
	})
}

// Sync implements storage.File. It also makes the name of a new file durable, unless the file was renamed.
func (f *openFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.disk.runOperation(func() error {
		if f.disk.syncFails() {
			return ErrSync
		}
		f.inode.synced = slices.Clone(f.inode.content)
		f.inode.edits = nil
		if !f.inode.renamed && f.disk.current[f.name] == f.inode {
			f.disk.durable[f.name] = f.inode
		}
		return nil
	})
}

// Close implements io.Closer.
func (f *openFile) Close() error { return nil }
