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

// File is an open file. Reads and writes start at its current position.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	// Truncate sets the file's length in bytes.
	Truncate(length int64) error
	// Sync returns once the file's content survives a power loss.
	Sync() error
}

// FileSystem is the set of file operations that a FileStore needs. Names are paths.
type FileSystem interface {
	// MakeDirectory creates a directory and its parents durably. It does nothing if the directory exists.
	MakeDirectory(name string) error
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Open opens a file for reading and writing. The error is fs.ErrNotExist if there is none.
	Open(name string) (File, error)
	// Rename renames a file and replaces any file that has the new name.
	Rename(from, to string) error
	// Remove deletes a file. The error is fs.ErrNotExist if there is none.
	Remove(name string) error
	// SyncDirectory returns once the names in a directory survive a power loss.
	SyncDirectory(name string) error
}

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// MakeDirectory implements FileSystem.
func (o OSFileSystem) MakeDirectory(name string) error {
	if _, err := os.Stat(name); !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := os.MkdirAll(name, directoryPermissions); err != nil {
		return err
	}
	return o.SyncDirectory(filepath.Dir(name))
}

// Create implements FileSystem.
func (OSFileSystem) Create(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermissions)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Open implements FileSystem.
func (OSFileSystem) Open(name string) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR, filePermissions)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(name string) error { return os.Remove(name) }

// SyncDirectory implements FileSystem.
func (OSFileSystem) SyncDirectory(name string) error {
	directory, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // a close error is harmless, as nothing was written
	return directory.Sync()
}
