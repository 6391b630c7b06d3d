package storagetest

import (
	"errors"
	"io"
	"slices"
)

// openFile is a file of a Disk together with a position in it.
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
	if f.disk.powerless {
		return 0, ErrPowerLost
	}
	if f.position >= len(f.inode.content) {
		return 0, io.EOF
	}
	count := copy(buffer, f.inode.content[f.position:])
	f.position += count
	return count, nil
}

// Write implements io.Writer. On a full disk it writes what fits.
func (f *openFile) Write(data []byte) (int, error) {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	written := 0
	err := f.disk.operate(func() error {
		fitting := data[:min(len(data), f.freeSpace())]
		f.edit(edit{offset: f.position, data: append([]byte{}, fitting...)})
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
	if f.disk.capacity == 0 {
		return int(^uint(0) >> 1)
	}
	return max(0, f.disk.capacity-f.disk.used())
}

func (f *openFile) edit(one edit) {
	f.inode.edits = append(f.inode.edits, one)
	f.inode.content = one.applyTo(f.inode.content)
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
	return f.disk.operate(func() error {
		if f.disk.failTruncate {
			return ErrTruncate
		}
		f.edit(edit{offset: int(length)})
		return nil
	})
}

// Sync implements storage.File. A new file that was not renamed lasts from then on.
func (f *openFile) Sync() error {
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	return f.disk.operate(func() error {
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
