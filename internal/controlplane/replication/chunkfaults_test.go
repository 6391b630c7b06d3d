package replication

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	messageLimit = 64 << 20 // of package transport, for one message
	hugeValue    = 64 << 10 // bytes of an entry
	hugeChunk    = 16       // entries proposed together
	hugeEntries  = messageLimit/hugeValue + 5*hugeChunk
	raceEntries  = 12 * hugeChunk // under the race detector
)

// hugeCount is how many entries the group has: above the limit of one message, or 12 MB under the race detector, which
// would take several times the memory.
func hugeCount() int {
	if raceflag.On || testing.Short() {
		return raceEntries
	}
	return hugeEntries
}

// Numbers of the chunks at which faults strike; the first snapshot is given up in its midst.
const (
	lostChunk       = 2  // it does not arrive
	unansweredChunk = 4  // it arrives, and its answer does not
	duplicatedChunk = 6  // it arrives twice
	lateChunk       = 8  // an older one arrives before it once more
	earlyChunk      = 10 // the one after the next arrives before it
	oldChunk        = 12 // one of the leader before arrives before it
)

var errOnTheWay = errors.New("lost on the way")

// chunkFaults injects faults into the chunks of snapshots on their way to one member.
type chunkFaults struct {
	target string

	mu         sync.Mutex
	injected   map[uint32]bool        // faults that have struck, by their part
	first      appendRequest          // the first part of the first leader's snapshot
	midway     chan uint64            // gets the term of the first snapshot once half of it has arrived
	stopped    uint64                 // that snapshot's term, of which nothing passes any more; 0 before
	chunks     uint32                 // of the newest snapshot
	largest    int                    // bytes of entries in one message
	outOfOrder map[uint32]appendReply // answers to chunks out of order, by the chunk that was due
}

func newChunkFaults(target string) *chunkFaults {
	return &chunkFaults{
		target: target, injected: make(map[uint32]bool), midway: make(chan uint64, 1), outOfOrder: make(map[uint32]appendReply),
	}
}

// deliver passes a call on, with what harms it.
func (f *chunkFaults) deliver(address string, request any, deliver func(request any, reply *appendReply) error) error {
	chunk, isAppend := request.(appendRequest)
	if !isAppend || address != f.target || !chunk.Snapshot || chunk.Chunks < 2 {
		return deliver(request, nil)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if chunk.Term == f.stopped || f.stopsAt(chunk) {
		return errOnTheWay
	}
	f.recordChunk(chunk)
	if chunk.Term != f.first.Term {
		if err := f.injectFault(chunk, deliver); err != nil {
			return err
		}
	}
	return deliver(chunk, nil)
}

// recordChunk counts a part, and keeps the first one of all.
func (f *chunkFaults) recordChunk(chunk appendRequest) {
	f.chunks = chunk.Chunks
	sum := 0
	for _, entry := range chunk.Entries {
		sum += entry.bytes()
	}
	f.largest = max(f.largest, sum)
	if f.first.Chunks == 0 {
		f.first = chunk
	}
}

// stopsAt ends the first snapshot in its midst.
func (f *chunkFaults) stopsAt(chunk appendRequest) bool {
	if f.stopped != 0 || f.first.Chunks == 0 || chunk.Chunk < chunk.Chunks/2 {
		return false
	}
	f.stopped = chunk.Term
	f.midway <- chunk.Term
	return true
}

// injectFault harms a part of a later snapshot once, by its number.
func (f *chunkFaults) injectFault(chunk appendRequest, deliver func(request any, reply *appendReply) error) error {
	if f.injected[chunk.Chunk] {
		return nil
	}
	f.injected[chunk.Chunk] = true
	switch chunk.Chunk {
	case lostChunk:
		return errOnTheWay
	case unansweredChunk:
		deliver(chunk, new(appendReply))
		return errOnTheWay
	case duplicatedChunk:
		return f.deliverOutOfOrder(chunk, chunk, deliver)
	case lateChunk:
		older := chunk
		older.Chunk, older.Entries = 1, f.first.Entries
		return f.deliverOutOfOrder(chunk, older, deliver)
	case earlyChunk:
		later := chunk
		later.Chunk += 2
		return f.deliverOutOfOrder(chunk, later, deliver)
	case oldChunk:
		return f.deliverOutOfOrder(chunk, f.first, deliver)
	}
	return nil
}

// deliverOutOfOrder delivers a part that is not in its turn, and notes the answer. Where there is none, as on a busy machine, the
// part in turn is lost as well, and the fault strikes when that is sent again.
func (f *chunkFaults) deliverOutOfOrder(inTurn, odd appendRequest, deliver func(request any, reply *appendReply) error) error {
	var reply appendReply
	err := deliver(odd, &reply)
	if err != nil {
		delete(f.injected, inTurn.Chunk)
		return err
	}
	f.outOfOrder[inTurn.Chunk] = reply
	return nil
}

// check verifies that no message was larger than a chunk, that each fault was injected, and that no chunk out of order counted.
func (f *chunkFaults) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	So(f.largest, ShouldBeLessThanOrEqualTo, DefaultLimits.ChunkBytes)
	So(f.injected[lostChunk] && f.injected[unansweredChunk], ShouldBeTrue)
	So(f.outOfOrder[oldChunk].Outcome, ShouldEqual, staleTerm)
	for inTurn, next := range map[uint32]uint32{duplicatedChunk: duplicatedChunk + 1, lateChunk: lateChunk, earlyChunk: earlyChunk} {
		So(f.outOfOrder[inTurn].Outcome, ShouldEqual, incomplete)
		So(f.outOfOrder[inTurn].NextChunk, ShouldEqual, next)
	}
}

// A group's state is larger than one message may be. A replica that was down gets it in chunks; half-way its leader dies, and
// the next leader's chunks are lost, duplicated, late, early, and mixed with one of the leader before. The state is 12 MB under
// the race detector, which would take several times the memory of the whole; the gate plays the whole without it.
func TestSnapshotLargerThanAMessage(t *testing.T) {
	Convey("A replica without a state that fits into no message gets it in chunks, and counts in a majority", t, func() {
		stores := make(map[string]*noticed)
		c := startClusterWithStores(3, func(address string) storage.Store {
			if stores[address] == nil {
				stores[address] = &noticed{storage.NewMemory(), make(chan struct{}, 1)}
			}
			return stores[address]
		})
		defer c.close()
		leader := c.awaitValidElection()
		lagging := c.notLeading(leader)
		lagging.stop()
		leader = c.proposeHuge(leader)
		faults := newChunkFaults(lagging.address)
		c.faults.Store(faults)
		listener, err := net.Listen("tcp", lagging.address)
		So(err, ShouldBeNil)
		began := time.Now()
		c.startNode(listener)
		_, err = receive(faults.midway)
		So(err, ShouldBeNil)
		// The leader may still hold the one batch that it could not deliver when the replica went.
		So(len(stores[lagging.address].Table(stateTable("jobs/x"))), ShouldBeLessThanOrEqualTo, hugeChunk)
		leader.node.kill()
		c.awaitHuge(stores[lagging.address])
		t.Logf("%d entries of %d KB, %d chunks, the largest of %d bytes: caught up after %v",
			hugeCount(), hugeValue>>10, faults.chunks, faults.largest, time.Since(began).Round(time.Millisecond))

		state := stores[lagging.address].Table(stateTable("jobs/x"))
		So(wrongEntries(state), ShouldBeEmpty)
		if !raceflag.On && !testing.Short() {
			So(stateBytes(state), ShouldBeGreaterThan, messageLimit)
		}
		faults.check()
		// It counts: with the one that is left it commits more.
		next := c.awaitValidElection()
		for !commits(next.term, []Entry{{"after", []byte{1}}}) {
			next = c.awaitValidElection()
		}
	})
}

// proposeHuge proposes all entries; a busy machine may lose a lease, and then the next leader goes on.
func (c *cluster) proposeHuge(leader election) election {
	for first := 0; first < hugeCount(); first += hugeChunk {
		var entries []Entry
		for i := first; i < first+hugeChunk; i++ {
			entries = append(entries, Entry{hugeKey(i), hugeContent(i)})
		}
		for !commits(leader.term, entries) {
			leader = c.awaitValidElection()
		}
	}
	return leader
}

func hugeKey(i int) string     { return fmt.Sprintf("task/%08d", i) }
func hugeContent(i int) []byte { return bytes.Repeat([]byte{byte(i), byte(i >> 8)}, hugeValue/2) }

// wrongEntries lists what is missing or differs in a state, and what is too much.
func wrongEntries(state map[string][]byte) (wrong []string) {
	for i := range hugeCount() {
		if !bytes.Equal(state[hugeKey(i)], hugeContent(i)) {
			wrong = append(wrong, hugeKey(i))
		}
	}
	if excess := len(state) - hugeCount(); excess > 1 { // one is the mark of the position
		wrong = append(wrong, fmt.Sprintf("%d entries too many", excess))
	}
	return wrong
}

// awaitHuge waits until a store holds as many entries as the state has; they come in one write.
func (c *cluster) awaitHuge(store *noticed) {
	for len(store.Table(stateTable("jobs/x"))) < hugeCount() {
		_, err := receive(store.written)
		So(err, ShouldBeNil)
	}
}

// notLeading is a node that does not lead.
func (c *cluster) notLeading(leader election) *runningNode {
	for _, r := range c.nodes {
		if r != leader.node {
			return r
		}
	}
	return nil
}

// noticed is a store in memory that tells of its writes.
type noticed struct {
	*storage.Memory
	written chan struct{} // holds a token after a write
}

// Write implements storage.Store.
func (n *noticed) Write(changes ...storage.Change) error {
	err := n.Memory.Write(changes...)
	select {
	case n.written <- struct{}{}:
	default:
	}
	return err
}

// callHarmed makes a call through the faults. The member that is harmed does not stand for election, as it would then fetch
// the state and not be sent it.
func (r *runningNode) callHarmed(ctx context.Context, faults *chunkFaults, address string, route transport.Route, request, reply any) error {
	if r.address == faults.target && route == voteCall.Route() {
		return errOnTheWay
	}
	return faults.deliver(address, request, func(request any, other *appendReply) error {
		if other != nil {
			return r.client.Call(ctx, address, route, request, other)
		}
		return r.client.Call(ctx, address, route, request, reply)
	})
}
