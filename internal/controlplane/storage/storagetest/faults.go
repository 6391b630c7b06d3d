package storagetest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
)

var (
	// ErrPowerLost is the failure of every operation from a loss of power until Restore.
	ErrPowerLost = errors.New("no power")
	// ErrFull is the failure of writes to a full disk.
	ErrFull = fmt.Errorf("the disk is full: %w", syscall.ENOSPC)
	// ErrSync is the failure of a sync that was made to fail.
	ErrSync = errors.New("the disk failed to sync")
	// ErrTruncate is the failure to set a file's length that was made to fail.
	ErrTruncate = errors.New("the disk failed to set a length")
)

// LosePowerAt makes power fail at an operation, counted from 1 from now on: before it or, where late, after it, but before
// its caller hears of it.
func (d *Disk) LosePowerAt(operation int, late bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.powerLossAt, d.powerLossAfterOperation = d.operations+operation, late
}

// FailSyncAt makes the syncs fail that come after a number of operations from now.
func (d *Disk) FailSyncAt(operation int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failSyncAt = d.operations + operation
}

// SetCapacity bounds the length of all files together, in bytes.
func (d *Disk) SetCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = bytes
}

// SetFreeSpace bounds the length of all files together to a number of bytes more than it is now.
func (d *Disk) SetFreeSpace(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacity = d.used() + bytes
}

// FailTruncate makes it fail from now on to set the length of a file.
func (d *Disk) FailTruncate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failTruncate = true
}

// Operations counts the operations so far that change the disk or sync it.
func (d *Disk) Operations() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// LosePower makes power fail now.
func (d *Disk) LosePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.powerless = true
}

// Kill returns the disk as a new process finds it after the last one was killed while the power stayed: with all writes,
// synced or not. Files that were open before are of no use any more.
func (d *Disk) Kill() *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.powerless = true
	return &Disk{current: d.current, durable: d.durable}
}

// Restore returns the disk as it may be found after the power failed: a part of what was not synced is lost, which the
// random source chooses. Files that were open before are of no use any more.
func (d *Disk) Restore(random *rand.Rand) *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	restored := NewDisk()
	survivors := make(map[*inode]*inode)
	for _, name := range d.names() {
		file := d.durable[name]
		if d.current[name] != file && random.IntN(2) == 0 {
			file = d.current[name]
		}
		if file == nil {
			continue
		}
		if survivors[file] == nil {
			content := file.survivor(random)
			survivors[file] = &inode{content: content, synced: content}
		}
		restored.current[name], restored.durable[name] = survivors[file], survivors[file]
	}
	return restored
}

// survivor is what a loss of power leaves of a file.
func (i *inode) survivor(random *rand.Rand) []byte {
	content := i.synced
	if random.IntN(4) == 0 {
		return content
	}
	for _, edit := range i.edits {
		switch random.IntN(3) {
		case 0: // missing
		case 1:
			content = edit.applyTo(content)
		case 2:
			content = edit.torn(random).applyTo(content)
		}
	}
	return content
}

// torn is a part of a write, from the beginning, the end or the middle. A length is set or not.
func (e edit) torn(random *rand.Rand) edit {
	if len(e.data) == 0 {
		return e
	}
	from := random.IntN(len(e.data) + 1)
	to := from + random.IntN(len(e.data)-from+1)
	if random.IntN(2) == 0 {
		from = 0
	}
	return edit{offset: e.offset + from, data: slices.Clone(e.data[from:to:to])}
}

func (d *Disk) syncFails() bool { return d.failSyncAt > 0 && d.operations >= d.failSyncAt }
