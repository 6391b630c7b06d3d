package storagetest

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// Disk is a file system in memory. It remembers what was synced, and a loss of power leaves any part of the rest: a
// write may be there, missing or torn, independently of others, and so may a name that was made, renamed or removed.
type Disk struct {
	mutex                   sync.Mutex
	current                 map[string]*inode // by path, as processes see it
	durable                 map[string]*inode // by path, as of the last sync of the directory
	operations              int
	powerLossAt             int // operation at which power is lost; 0 for never
	powerLossAfterOperation bool
	failSyncAt              int  // operation from which syncs fail; 0 for never
	capacity                int  // bytes of all files together; 0 for no bound
	failTruncate            bool // the lengths of files cannot be set
	powerless               bool
}

// inode is a file's content under whatever names.
type inode struct {
	content []byte // as processes see it
	synced  []byte
	edits   []edit // since the last sync
	renamed bool
}

// edit is one write, or a setting of the length where data is nil.
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

// NewDisk makes an empty disk.
func NewDisk() *Disk {
	return &Disk{current: make(map[string]*inode), durable: make(map[string]*inode)}
}

// ReadFile returns a file's content, synced or not.
func (d *Disk) ReadFile(name string) []byte {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current[name] == nil {
		return nil
	}
	return slices.Clone(d.current[name].content)
}

// WriteFile puts a file on the disk, synced.
func (d *Disk) WriteFile(name string, content []byte) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &inode{content: slices.Clone(content), synced: slices.Clone(content)}
	d.current[name], d.durable[name] = file, file
}

// names lists all names that are or were in use, in a fixed order.
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

// operate counts an operation and carries it out unless power fails before.
func (d *Disk) operate(operation func() error) error {
	if d.powerless {
		return ErrPowerLost
	}
	d.operations++
	if d.operations == d.powerLossAt {
		d.powerless = true
		if !d.powerLossAfterOperation {
			return ErrPowerLost
		}
	}
	err := operation()
	if d.powerless {
		return ErrPowerLost
	}
	return err
}

// MakeDirectory implements storage.FileSystem; directories need not be made.
func (d *Disk) MakeDirectory(string) error { return nil }

// Create implements storage.FileSystem.
func (d *Disk) Create(name string) (storage.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file := &inode{}
	err := d.operate(func() error {
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
	if d.powerless {
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
	return d.operate(func() error {
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
	if d.current[name] == nil && !d.powerless {
		return fmt.Errorf("remove %s: %w", name, fs.ErrNotExist)
	}
	return d.operate(func() error {
		delete(d.current, name)
		return nil
	})
}

// SyncDirectory implements storage.FileSystem.
func (d *Disk) SyncDirectory(directory string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operate(func() error {
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

// used is the length of all files together.
func (d *Disk) used() int {
	total := 0
	for _, file := range d.current {
		total += len(file.content)
	}
	return total
}
