package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	filePermissions      = 0o600
	directoryPermissions = 0o700
)

// File is an open file that is read and written at its current position.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	// Truncate sets the file's length in bytes.
	Truncate(length int64) error
	// Sync returns once the file's content will survive a loss of power.
	Sync() error
}

// FileSystem is the part of an operating system's files that a FileStore needs. Names are paths.
type FileSystem interface {
	// MakeDirectory makes a directory that lasts, with its parents, unless it is there.
	MakeDirectory(name string) error
	// Create makes an empty file, or empties the one that has the name.
	Create(name string) (File, error)
	// Open opens a file for reading and writing; the error is fs.ErrNotExist where there is none.
	Open(name string) (File, error)
	// Rename gives a file another name, in the place of a file that has it.
	Rename(from, to string) error
	// Remove deletes a file; the error is fs.ErrNotExist where there is none.
	Remove(name string) error
	// SyncDirectory returns once the names in a directory will survive a loss of power.
	SyncDirectory(name string) error
}

// OperatingSystem is the FileSystem of the machine.
type OperatingSystem struct{}

// MakeDirectory implements FileSystem.
func (o OperatingSystem) MakeDirectory(name string) error {
	if _, err := os.Stat(name); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.MkdirAll(name, directoryPermissions); err != nil {
		return err
	}
	return o.SyncDirectory(filepath.Dir(name))
}

// Create implements FileSystem.
func (OperatingSystem) Create(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermissions)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Open implements FileSystem.
func (OperatingSystem) Open(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements FileSystem.
func (OperatingSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OperatingSystem) Remove(name string) error { return os.Remove(name) }

// SyncDirectory implements FileSystem.
func (OperatingSystem) SyncDirectory(name string) error {
	directory, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // it is only read
	return directory.Sync()
}
