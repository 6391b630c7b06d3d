package transport

import (
	"sync"
	"time"
)

// directory caches which process serves each address. An entry may be stale. The process at the address then rejects the call.
type directory struct {
	mutex     sync.RWMutex
	processes map[string]directoryEntry
}

// directoryEntry is the identity of a process and a reading of its clock.
type directoryEntry struct {
	identity         Identity
	headerText       string        // identity.String(), cached because each call needs it
	clock            time.Duration // time since the start of the process
	clockRequestedAt time.Time     // when the call was sent whose response contained clock
}

// clockAfter returns the estimated clock of the process at now plus delay. It may be ahead by the duration of the call that
// read the clock.
func (p directoryEntry) clockAfter(now time.Time, delay time.Duration) time.Duration {
	return p.clock + now.Sub(p.clockRequestedAt) + delay
}

func newDirectory() *directory { return &directory{processes: make(map[string]directoryEntry)} }

func (d *directory) lookup(address string) (directoryEntry, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	process, known := d.processes[address]
	return process, known
}

// add inserts an entry unless the address has one. Another call may have added one in the meantime.
func (d *directory) add(address string, actual directoryEntry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.processes[address]; !known {
		d.processes[address] = actual
	}
}

// replace replaces the entry of a process that was restarted. It does nothing if another call has changed the entry meanwhile.
func (d *directory) replace(address string, intended Identity, actual directoryEntry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.processes[address].identity == intended {
		d.processes[address] = actual
	}
}

// remove deletes the entry of a process that no longer serves the address. The next call is then addressed to any process. It
// does nothing if another call has changed the entry meanwhile.
func (d *directory) remove(address string, intended Identity) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.processes[address].identity == intended {
		delete(d.processes, address)
	}
}
