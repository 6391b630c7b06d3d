package replicaset_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// proposeInterval is between two proposals of a leader in the model.
const proposeInterval = 400 * time.Millisecond

// modelLeader leads the model's group for one process.
type modelLeader struct {
	model *model
	core  *core
}

// Elected implements replication.Handler: the state has all that was confirmed, and from now on the leader proposes.
func (l *modelLeader) Elected(term *replication.Term, state map[string][]byte) {
	m := l.model
	m.state.Lock()
	for key := range m.groupAcked {
		if _, found := state[key]; !found {
			m.wrong = append(m.wrong, fmt.Sprintf("after %v: the leader of term %d, %s, lacks %q, which was confirmed",
				time.Since(m.start), term.Number(), l.core.address, key))
			break
		}
	}
	m.state.Unlock()
	m.tasks.Go(func() { l.lead(term) })
}

// Deposed implements replication.Handler.
func (l *modelLeader) Deposed(*replication.Term) {}

func (l *modelLeader) lead(term *replication.Term) {
	for i := 0; ; i++ {
		key := fmt.Sprintf("%d-%d", term.Number(), i)
		term.Propose([]replication.Entry{{Key: key, Value: []byte{1}}}, func() { l.model.groupConfirmed(key) })
		select {
		case <-term.Ended():
			return
		case <-l.core.ctx.Done():
			return
		case <-time.After(proposeInterval):
		}
	}
}

func (m *model) groupConfirmed(key string) {
	m.state.Lock()
	defer m.state.Unlock()
	m.groupAcked[key] = true
	m.slowest = max(m.slowest, time.Since(m.groupMoved))
	m.groupMoved = time.Now()
}

// disksOf are the disks of members that have founded the first view, by size and address.
var (
	disksOf    = make(map[int]map[string]storage.Tables)
	disksMutex sync.Mutex
)

// founded returns the disks of members that have founded the first view, by address.
func founded(t *testing.T, size int) map[string]storage.Tables {
	disksMutex.Lock()
	defer disksMutex.Unlock()
	if disks, found := disksOf[size]; found {
		return disks
	}
	disks := make(map[string]storage.Tables)
	disksOf[size] = disks
	virtualtime.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: networktest.New(1), seeds: addresses(size), running: make(map[string]*core)}
		c.network.SetFaults(quietFaults)
		for _, address := range addresses(size) {
			c.start(address, "zone of "+address, storage.NewMemory(), true)
		}
		<-time.After(firstViewIn)
		for _, p := range c.all() {
			disks[p.address] = p.disk.Snapshot()
		}
		c.end()
	})
	return disks
}
