package replication

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/raceflag"
)

const (
	largeEntries = 200_000 // of a group; a tenth under the race detector
	largeChunk   = 2_000   // proposed together
	largeValue   = 100     // bytes
)

func entryCount() int {
	if raceflag.On || testing.Short() {
		return largeEntries / 10
	}
	return largeEntries
}

// proposeAll proposes numbered entries in chunks and waits until each is committed. A busy machine may lose a lease, and
// then the next leader goes on; the last one is returned.
func (c *cluster) proposeAll(leader election, count int, mark byte) election {
	for first := 0; first < count; first += largeChunk {
		entries := make([]Entry, largeChunk)
		for i := range entries {
			entries[i] = Entry{fmt.Sprintf("task/%08d", first+i), bytes.Repeat([]byte{mark}, largeValue)}
		}
		for !commits(leader.term, entries) {
			leader = c.awaitValidElection()
		}
	}
	return leader
}

// commits proposes entries and tells whether they were committed before the term ended.
func commits(term *Term, entries []Entry) bool {
	committed := make(chan struct{})
	term.Propose(entries, func() { close(committed) })
	select {
	case <-committed:
		return true
	case <-term.Ended():
		return false
	}
}

// proposeSteadily proposes a small change every few milliseconds to whoever leads, until it is told to stop. It returns the number
// of the newest one that was committed.
func (c *cluster) proposeSteadily(term *Term, stop <-chan struct{}) (committed *atomic.Uint64) {
	committed = new(atomic.Uint64)
	number := uint64(0)
	go func() {
		ticks := time.NewTicker(5 * time.Millisecond)
		defer ticks.Stop()
		for {
			select {
			case <-stop:
				return
			case next := <-c.elected:
				term = next.term
			case <-ticks.C:
				number++
				change := number
				term.Propose([]Entry{{"busy", binary.BigEndian.AppendUint64(nil, change)}}, func() { committed.Store(change) })
			}
		}
	}()
	return committed
}

// observedStore is a store that tells of its writes. It keeps the newest small change, as a look into the table copies all of it,
// which takes longer than the catching up where the processor is busy.
type observedStore struct {
	*storage.FileStore
	written chan struct{} // holds a token after a write
	busy    atomic.Uint64 // number of the newest small change written; 0 before the first
}

// Write implements storage.Store.
func (w *observedStore) Write(changes ...storage.Change) error {
	err := w.FileStore.Write(changes...)
	for _, change := range changes {
		if err == nil && change.Key == "busy" && len(change.Value) == 8 {
			w.busy.Store(binary.BigEndian.Uint64(change.Value))
		}
	}
	select {
	case w.written <- struct{}{}:
	default:
	}
	return err
}

// A member that was away while a large group changed starts again, and catches up under a busy leader.
func TestRestartWithALargeState(t *testing.T) {
	Convey("Given a group of many entries on real files", t, func() {
		directory := t.TempDir()
		stores := make(map[string]*observedStore)
		opened := make(map[string]time.Duration)
		open := func(address string) storage.Store {
			began := time.Now()
			store, _, err := storage.Open(storage.OSFileSystem{}, filepath.Join(directory, address), storage.Options{})
			So(err, ShouldBeNil)
			stores[address] = &observedStore{FileStore: store, written: make(chan struct{}, 1)}
			opened[address] = time.Since(began)
			return stores[address]
		}
		c := startClusterWithStores(3, open)
		defer func() {
			c.close()
			for _, store := range stores {
				store.Close()
			}
		}()
		leader := c.proposeAll(c.awaitValidElection(), entryCount(), 1)
		var away *runningNode
		for _, r := range c.nodes {
			if r != leader.node {
				away = r
			}
		}
		away.stop()
		So(stores[away.address].Close(), ShouldBeNil)
		leader = c.proposeAll(leader, entryCount()/4, 2)
		stop := make(chan struct{})
		defer close(stop)
		committed := c.proposeSteadily(leader.term, stop)

		listener, err := net.Listen("tcp", away.address)
		So(err, ShouldBeNil)
		began := time.Now()
		c.startNode(listener)
		caughtUp := func() bool {
			newest := stores[away.address].busy.Load()
			return newest > 0 && newest+200 > committed.Load()
		}
		for !caughtUp() {
			_, err := receive(stores[away.address].written)
			So(err, ShouldBeNil)
		}
		t.Logf("%d entries: open after %v, caught up after %v", entryCount(), opened[away.address], time.Since(began))
		So(caughtUp(), ShouldBeTrue)
		state := stores[away.address].Table(stateTable("jobs/x"))
		So(len(state["busy"]), ShouldEqual, 8)
		So(len(state), ShouldEqual, entryCount()+1)
		So(state["task/00000000"][0], ShouldEqual, 2)
	})
}
