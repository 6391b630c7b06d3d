package transport

import (
	"sync"
	"time"
)

// directory caches which process serves which address. An entry may be stale: the process that is there then rejects the call.
type directory struct {
	mutex     sync.RWMutex
	processes map[string]knownProcess
}

// knownProcess is an entry: an identity, and a reading of the process's clock.
type knownProcess struct {
	identity         Identity
	headerText       string        // of identity, as each call needs it
	clock            time.Duration // since the process's start
	clockRequestedAt time.Time     // when the call was sent whose response gave clock
}

// clockAfter is the process's clock at now plus delay. It may be ahead by the time that the call took which read the clock.
func (p knownProcess) clockAfter(now time.Time, delay time.Duration) time.Duration {
	return p.clock + now.Sub(p.clockRequestedAt) + delay
}

func newDirectory() *directory { return &directory{processes: make(map[string]knownProcess)} }

func (d *directory) lookup(address string) (knownProcess, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	process, known := d.processes[address]
	return process, known
}

// add inserts an entry for an address without one. An entry that another call has added in the meantime stays.
func (d *directory) add(address string, actual knownProcess) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.processes[address]; !known {
		d.processes[address] = actual
	}
}

// replace updates the entry of a restarted process, unless another call has changed it in the meantime.
func (d *directory) replace(address string, intended Identity, actual knownProcess) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.processes[address].identity == intended {
		d.processes[address] = actual
	}
}

// remove deletes the entry of a process that is not at the address any more; the next call is a first contact.
func (d *directory) remove(address string, intended Identity) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.processes[address].identity == intended {
		delete(d.processes, address)
	}
}
