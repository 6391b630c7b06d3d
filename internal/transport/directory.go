package transport

import (
	"sync"
	"time"
)

// directory remembers who serves which address. What it says may be out of date, and is then refused by who is there.
type directory struct {
	mutex     sync.RWMutex
	processes map[string]knownProcess
}

// knownProcess is an identity with its text, which each call needs, and a reading of the process's clock.
type knownProcess struct {
	identity     Identity
	headerText   string
	clock        time.Duration // since the process's start
	clockAskedAt time.Time     // when the call was sent by whose answer the clock is known
}

// clockAfter is the process's clock, or a little more, when so much time has gone from now on.
func (p knownProcess) clockAfter(now time.Time, from time.Duration) time.Duration {
	return p.clock + now.Sub(p.clockAskedAt) + from
}

func newDirectory() *directory { return &directory{processes: make(map[string]knownProcess)} }

func (d *directory) lookup(address string) (knownProcess, bool) {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	process, known := d.processes[address]
	return process, known
}

// add notes who serves an address that nobody was known to serve. What another call has learned meanwhile stays.
func (d *directory) add(address string, actual knownProcess) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.processes[address]; !known {
		d.processes[address] = actual
	}
}

// replace notes that a process was started again, unless another call has learned of a later one.
func (d *directory) replace(address string, intended Identity, actual knownProcess) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.processes[address].identity == intended {
		d.processes[address] = actual
	}
}

// remove drops a process that is not at the address any more; the next call is a first contact.
func (d *directory) remove(address string, intended Identity) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.processes[address].identity == intended {
		delete(d.processes, address)
	}
}
