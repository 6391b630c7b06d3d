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
	largeEntries      = 200_000 // number of entries in the group; a tenth under the race detector and in short mode
	largeBatchEntries = 2_000   // number of entries proposed together
	largeValueBytes   = 100     // size of a value
)

func largeEntryCount() int {
	if raceflag.Enabled || testing.Short() {
		return largeEntries / 10
	}
	return largeEntries
}

// proposeAll proposes count numbered entries in batches, waits until each batch is committed, and returns the last leader. On a
// busy machine, a leader may lose its lease. The next leader then continues.
func (c *cluster) proposeAll(leader election, count int, fillByte byte) election {
	for first := 0; first < count; first += largeBatchEntries {
		entries := make([]Entry, largeBatchEntries)
		for i := range entries {
			entries[i] = Entry{fmt.Sprintf("task/%08d", first+i), bytes.Repeat([]byte{fillByte}, largeValueBytes)}
		}
		for !commits(leader.term, entries) {
			leader = c.awaitValidElection()
		}
	}
	return leader
}

// commits proposes entries and reports whether they were committed before the term ended.
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

// proposeSteadily proposes a small numbered change to the current leader every 5 ms, until stop is closed. The result contains the
// number of the newest committed change.
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

// observedStore is a store that signals its writes and records the newest small change. The test does not read that change from
// the table, because a read copies the whole table, which on a busy processor takes longer than catching up.
type observedStore struct {
	*storage.FileStore
	written      chan struct{} // contains a value after a write
	newestChange atomic.Uint64 // number of the newest small change that was written; 0 before the first one
}

// Write implements storage.Store.
func (w *observedStore) Write(changes ...storage.Change) error {
	err := w.FileStore.Write(changes...)
	for _, change := range changes {
		if err == nil && change.Key == "busy" && len(change.Value) == 8 {
			w.newestChange.Store(binary.BigEndian.Uint64(change.Value))
		}
	}
	select {
	case w.written <- struct{}{}:
	default:
	}
	return err
}

// A replica that was down while a large group changed must catch up after its restart, while the leader is busy.
func TestRestartedReplicaCatchesUpWithLargeState(t *testing.T) {
	Convey("Given a group with many entries in real files", t, func() {
		directory := t.TempDir()
		stores := make(map[string]*observedStore)
		openDurations := make(map[string]time.Duration)
		open := func(address string) storage.Store {
			began := time.Now()
			store, _, err := storage.Open(storage.OSFileSystem{}, filepath.Join(directory, address), storage.Options{})
			So(err, ShouldBeNil)
			stores[address] = &observedStore{FileStore: store, written: make(chan struct{}, 1)}
			openDurations[address] = time.Since(began)
			return stores[address]
		}
		c := startClusterWithStores(3, open)
		defer func() {
			c.close()
			for _, store := range stores {
				store.Close()
			}
		}()
		leader := c.proposeAll(c.awaitValidElection(), largeEntryCount(), 1)
		var restarted *runningNode
		for _, r := range c.nodes {
			if r != leader.node {
				restarted = r
			}
		}
		restarted.stop()
		So(stores[restarted.address].Close(), ShouldBeNil)
		leader = c.proposeAll(leader, largeEntryCount()/4, 2)
		stop := make(chan struct{})
		defer close(stop)
		committed := c.proposeSteadily(leader.term, stop)

		listener, err := net.Listen("tcp", restarted.address)
		So(err, ShouldBeNil)
		began := time.Now()
		c.startNode(listener)
		caughtUp := func() bool {
			newest := stores[restarted.address].newestChange.Load()
			return newest > 0 && newest+200 > committed.Load()
		}
		for !caughtUp() {
			_, err := receive(stores[restarted.address].written)
			So(err, ShouldBeNil)
		}
		t.Logf("%d entries: open after %v, caught up after %v", largeEntryCount(), openDurations[restarted.address], time.Since(began))
		So(caughtUp(), ShouldBeTrue)
		state := stores[restarted.address].Table(stateTable("jobs/x"))
		So(len(state["busy"]), ShouldEqual, 8)
		So(len(state), ShouldEqual, largeEntryCount()+1)
		So(state["task/00000000"][0], ShouldEqual, 2)
	})
}
