package storagetest

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Disk is a file system in memory that simulates power losses. Synced data survives a power loss. Each unsynced write
// independently survives, is lost or is torn, which means that only a part of it survives. Each unsynced creation, renaming or
// removal of a name independently survives or is lost.
type Disk struct {
	mutex                   sync.Mutex
	current                 map[string]*inode // by path, as running processes see them
	durable                 map[string]*inode // by path, as of the last sync of the directory
	operations              int
	powerLossAt             int // number of the operation at which power is lost; 0 for never
	powerLossAfterOperation bool
	failSyncAt              int  // number of the operation from which on syncs fail; 0 for never
	capacityBytes           int  // limit of the total length of all files; 0 for no limit
	failTruncate            bool // whether Truncate fails
	powerLost               bool
}

// inode is the content of a file, independent of its names.
type inode struct {
	content []byte // as running processes see it
	synced  []byte // as of the last sync
	edits   []edit // since the last sync
	renamed bool
}

// edit is one write at an offset. If data is nil, it sets the file's length to offset instead.
type edit struct {
	offset int
	data   []byte
}

func (e edit) applyTo(content []byte) []byte {
	if e.data == nil {
		return resized(content, e.offset)
	}
	content = resized(content, max(len(content), e.offset+len(e.data)))
	copy(content[e.offset:], e.data)
	return content
}

func resized(content []byte, length int) []byte {
	if length <= len(content) {
		return slices.Clone(content[:length])
	}
	return append(slices.Clone(content), make([]byte, length-len(content))...)
}

// NewDisk returns an empty disk.
func NewDisk() *Disk {
	return &Disk{current: make(map[string]*inode), durable: make(map[string]*inode)}
}

// ReadFile returns the content of a file, including unsynced writes. It returns nil if there is no such file.
func (d *Disk) ReadFile(name string) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current[name] == nil {
		return nil
	}
	return slices.Clone(d.current[name].content)
}

// WriteFile creates or replaces a file and syncs it.
func (d *Disk) WriteFile(name string, content []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &inode{content: slices.Clone(content), synced: slices.Clone(content)}
	d.current[name], d.durable[name] = file, file
}

// names returns the sorted names of all files, including durable names that were removed or renamed since.
func (d *Disk) names() []string {
	var names []string
	for name := range d.current {
		names = append(names, name)
	}
	for name := range d.durable {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// runOperation counts an operation and executes it. It returns ErrPowerLost if power is lost before or just after it.
func (d *Disk) runOperation(operation func() error) error {
	if d.powerLost {
		return ErrPowerLost
	}
	d.operations++
	if d.operations == d.powerLossAt {
		d.powerLost = true
		if !d.powerLossAfterOperation {
			return ErrPowerLost
		}
	}
	err := operation()
	if d.powerLost {
		return ErrPowerLost
	}
	return err
}

// MakeDirectory implements storage.FileSystem. It does nothing, as files need no directory.
func (d *Disk) MakeDirectory(string) error { return nil }

// Create implements storage.FileSystem.
func (d *Disk) Create(name string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &inode{}
	err := d.runOperation(func() error {
		d.current[name] = file
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &openFile{disk: d, inode: file, name: name}, nil
}

// Open implements storage.FileSystem.
func (d *Disk) Open(name string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.powerLost {
		return nil, ErrPowerLost
	}
	file := d.current[name]
	if file == nil {
		return nil, fmt.Errorf("open %s: %w", name, fs.ErrNotExist)
	}
	return &openFile{disk: d, inode: file, name: name}, nil
}

// Rename implements storage.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runOperation(func() error {
		file := d.current[from]
		if file == nil {
			return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
		}
		file.renamed = true
		d.current[to] = file
		delete(d.current, from)
		return nil
	})
}

// Remove implements storage.FileSystem.
func (d *Disk) Remove(name string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current[name] == nil && !d.powerLost {
		return fmt.Errorf("remove %s: %w", name, fs.ErrNotExist)
	}
	return d.runOperation(func() error {
		delete(d.current, name)
		return nil
	})
}

// SyncDirectory implements storage.FileSystem.
func (d *Disk) SyncDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.runOperation(func() error {
		if d.syncFails() {
			return ErrSync
		}
		for _, name := range d.names() {
			if filepath.Dir(name) == filepath.Clean(directory) {
				d.makeDurable(name)
			}
		}
		return nil
	})
}

func (d *Disk) makeDurable(name string) {
	if file := d.current[name]; file != nil {
		d.durable[name] = file
	} else {
		delete(d.durable, name)
	}
}

// usedBytes returns the total length of all files.
func (d *Disk) usedBytes() int {
	total := 0
	for _, file := range d.current {
		total += len(file.content)
	}
	return total
}
