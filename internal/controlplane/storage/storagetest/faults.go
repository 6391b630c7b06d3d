package storagetest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
)

var (
	// ErrPowerLost is the error of every operation after a power loss.
	ErrPowerLost = errors.New("power lost")
	// ErrFull is the error of writes to a full disk.
	ErrFull = fmt.Errorf("the disk is full: %w", syscall.ENOSPC)
	// ErrSync is the error of syncs after FailSyncAt.
	ErrSync = errors.New("injected sync failure")
	// ErrTruncate is the error of Truncate after FailTruncate.
	ErrTruncate = errors.New("injected truncate failure")
)

// LosePowerAt schedules a power loss at an operation. Operations are counted from 1, starting with the next one. Power is lost
// before the operation or, with afterOperation, after it but before it returns to its caller.
func (d *Disk) LosePowerAt(operation int, afterOperation bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.powerLossAt, d.powerLossAfterOperation = d.operations+operation, afterOperation
}

// FailSyncAt makes all syncs fail from an operation on. Operations are counted from 1, starting with the next one.
func (d *Disk) FailSyncAt(operation int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failSyncAt = d.operations + operation
}

// SetCapacity limits the total length of all files, in bytes. 0 removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacityBytes = bytes
}

// SetFreeSpace limits the total length of all files to its current value plus a number of bytes.
func (d *Disk) SetFreeSpace(bytes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.capacityBytes = d.usedBytes() + bytes
}

// FailTruncate makes all later calls of Truncate fail.
func (d *Disk) FailTruncate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failTruncate = true
}

// Operations returns the number of operations so far that modified or synced the disk.
func (d *Disk) Operations() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.operations
}

// LosePower simulates a power loss now.
func (d *Disk) LosePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.powerLost = true
}

// KillProcess simulates that the process is killed without a power loss. It returns the disk as a new process finds it, with
// all writes, synced or not. Operations on d and its open files fail from then on.
func (d *Disk) KillProcess() *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.powerLost = true
	return &Disk{current: d.current, durable: d.durable}
}

// RestorePower returns the disk as a new process may find it after a power loss. The random source selects which unsynced
// writes and names are lost. Files that were opened before must not be used any more.
func (d *Disk) RestorePower(random *rand.Rand) *Disk {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	restored := NewDisk()
	restoredInodes := make(map[*inode]*inode)
	for _, name := range d.names() {
		file := d.durable[name]
		if d.current[name] != file && random.IntN(2) == 0 {
			file = d.current[name]
		}
		if file == nil {
			continue
		}
		if restoredInodes[file] == nil {
			content := file.contentAfterPowerLoss(random)
			restoredInodes[file] = &inode{content: content, synced: content}
		}
		restored.current[name], restored.durable[name] = restoredInodes[file], restoredInodes[file]
	}
	return restored
}

// contentAfterPowerLoss returns a random content that the file may have after a power loss.
func (i *inode) contentAfterPowerLoss(random *rand.Rand) []byte {
	content := i.synced
	if random.IntN(4) == 0 {
		return content
	}
	for _, edit := range i.edits {
		switch random.IntN(3) {
		case 0: // the edit is lost
		case 1:
			content = edit.applyTo(content)
		case 2:
			content = edit.torn(random).applyTo(content)
		}
	}
	return content
}

// torn returns a random part of a write, from its beginning, middle or end. It returns an edit of the length unchanged.
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
