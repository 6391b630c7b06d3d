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
	maxMessageBytes          = 64 << 20 // limit of package transport for one message
	chunkedStateValueBytes   = 64 << 10 // size of a value
	chunkedStateBatchEntries = 16       // number of entries proposed together
	fullEntryCount           = maxMessageBytes/chunkedStateValueBytes + 5*chunkedStateBatchEntries
	raceEntryCount           = 12 * chunkedStateBatchEntries // under the race detector
)

// chunkedStateEntryCount returns the number of entries in the group. Their size exceeds the limit of one message. Under the race
// detector, which needs several times the memory, and in short mode it is only 12 MB.
func chunkedStateEntryCount() int {
	if raceflag.Enabled || testing.Short() {
		return raceEntryCount
	}
	return fullEntryCount
}

// Numbers of the chunks at which faults are injected. The first snapshot is interrupted half-way, and the faults affect the
// snapshots after it.
const (
	lostChunk       = 2  // the chunk does not arrive
	unansweredChunk = 4  // the chunk arrives, but its reply is lost
	duplicatedChunk = 6  // the chunk arrives twice
	lateChunk       = 8  // an earlier chunk arrives again before this one
	earlyChunk      = 10 // the chunk after the next arrives before this one
	staleTermChunk  = 12 // a chunk of the previous leader arrives before this one
)

var errLostInTransit = errors.New("lost in transit")

// chunkFaults injects faults into the transfer of snapshots to one member.
type chunkFaults struct {
	target string

	mu                sync.Mutex
	injected          map[uint32]bool        // faults that were injected, by chunk number
	firstChunk        appendRequest          // first chunk of the first leader's snapshot
	interrupted       chan uint64            // receives the term of the first snapshot when half of it has arrived
	interruptedTerm   uint64                 // term of the interrupted snapshot, whose chunks are no longer delivered; 0 before the interruption
	newestChunkCount  uint32                 // number of chunks of the newest snapshot
	largestMessage    int                    // largest size of the entries in one message, in bytes
	outOfOrderReplies map[uint32]appendReply // replies to chunks out of order, by the number of the chunk that was due
}

func newChunkFaults(target string) *chunkFaults {
	return &chunkFaults{
		target: target, injected: make(map[uint32]bool), interrupted: make(chan uint64, 1), outOfOrderReplies: make(map[uint32]appendReply),
	}
}

// deliver passes a call on, and injects faults into chunks of snapshots to the target.
func (f *chunkFaults) deliver(address string, request any, deliver func(request any, reply *appendReply) error) error {
	chunk, isAppend := request.(appendRequest)
	if !isAppend || address != f.target || !chunk.Snapshot || chunk.Chunks < 2 {
		return deliver(request, nil)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if chunk.Term == f.interruptedTerm || f.interruptFirstSnapshot(chunk) {
		return errLostInTransit
	}
	f.recordChunk(chunk)
	if chunk.Term != f.firstChunk.Term {
		if err := f.injectFault(chunk, deliver); err != nil {
			return err
		}
	}
	return deliver(chunk, nil)
}

// recordChunk records the size of a chunk, and stores the very first chunk.
func (f *chunkFaults) recordChunk(chunk appendRequest) {
	f.newestChunkCount = chunk.Chunks
	sum := 0
	for _, entry := range chunk.Entries {
		sum += entry.bytes()
	}
	f.largestMessage = max(f.largestMessage, sum)
	if f.firstChunk.Chunks == 0 {
		f.firstChunk = chunk
	}
}

// interruptFirstSnapshot interrupts the first snapshot half-way, and reports whether it did so at this chunk.
func (f *chunkFaults) interruptFirstSnapshot(chunk appendRequest) bool {
	if f.interruptedTerm != 0 || f.firstChunk.Chunks == 0 || chunk.Chunk < chunk.Chunks/2 {
		return false
	}
	f.interruptedTerm = chunk.Term
	f.interrupted <- chunk.Term
	return true
}

// injectFault injects the fault for a chunk number once, in a later snapshot than the first one.
func (f *chunkFaults) injectFault(chunk appendRequest, deliver func(request any, reply *appendReply) error) error {
	if f.injected[chunk.Chunk] {
		return nil
	}
	f.injected[chunk.Chunk] = true
	switch chunk.Chunk {
	case lostChunk:
		return errLostInTransit
	case unansweredChunk:
		deliver(chunk, new(appendReply))
		return errLostInTransit
	case duplicatedChunk:
		return f.deliverOutOfOrder(chunk, chunk, deliver)
	case lateChunk:
		older := chunk
		older.Chunk, older.Entries = 1, f.firstChunk.Entries
		return f.deliverOutOfOrder(chunk, older, deliver)
	case earlyChunk:
		later := chunk
		later.Chunk += 2
		return f.deliverOutOfOrder(chunk, later, deliver)
	case staleTermChunk:
		return f.deliverOutOfOrder(chunk, f.firstChunk, deliver)
	}
	return nil
}

// deliverOutOfOrder delivers a chunk out of order, and records the reply. If there is no reply, which can happen on a busy machine,
// the due chunk is lost too, and the fault is injected again when that chunk is resent.
func (f *chunkFaults) deliverOutOfOrder(due, outOfOrder appendRequest, deliver func(request any, reply *appendReply) error) error {
	var reply appendReply
	err := deliver(outOfOrder, &reply)
	if err != nil {
		delete(f.injected, due.Chunk)
		return err
	}
	f.outOfOrderReplies[due.Chunk] = reply
	return nil
}

// checkFaults verifies that no message was larger than a chunk, that each fault was injected, and that chunks out of order were ignored.
func (f *chunkFaults) checkFaults() {
	f.mu.Lock()
	defer f.mu.Unlock()
	So(f.largestMessage, ShouldBeLessThanOrEqualTo, DefaultLimits.ChunkBytes)
	So(f.injected[lostChunk] && f.injected[unansweredChunk], ShouldBeTrue)
	So(f.outOfOrderReplies[staleTermChunk].Outcome, ShouldEqual, staleTerm)
	for due, next := range map[uint32]uint32{duplicatedChunk: duplicatedChunk + 1, lateChunk: lateChunk, earlyChunk: earlyChunk} {
		So(f.outOfOrderReplies[due].Outcome, ShouldEqual, incomplete)
		So(f.outOfOrderReplies[due].NextChunk, ShouldEqual, next)
	}
}

// The state of a group is larger than the limit of one message. A replica that was down receives it in chunks. Half-way, its
// leader fails. Chunks of the next leader are lost, duplicated, late, early, or preceded by a chunk of the previous leader. Under
// the race detector, which needs several times the memory, the state is only 12 MB. The gate runs the full size without it.
func TestSnapshotLargerThanMessageIsSentInChunks(t *testing.T) {
	Convey("A replica receives a state larger than a message in chunks, and then counts towards a majority", t, func() {
		stores := make(map[string]*notifyingStore)
		c := startClusterWithStores(3, func(address string) storage.Store {
			if stores[address] == nil {
				stores[address] = &notifyingStore{storage.NewMemory(), make(chan struct{}, 1)}
			}
			return stores[address]
		})
		defer c.close()
		leader := c.awaitValidElection()
		lagging := c.anyFollower(leader)
		lagging.stop()
		leader = c.proposeChunkedState(leader)
		faults := newChunkFaults(lagging.address)
		c.faults.Store(faults)
		listener, err := net.Listen("tcp", lagging.address)
		So(err, ShouldBeNil)
		began := time.Now()
		c.startNode(listener)
		_, err = receive(faults.interrupted)
		So(err, ShouldBeNil)
		// The leader may have retained the one batch that it could not deliver when the replica stopped. The replica may contain
		// that batch.
		So(len(stores[lagging.address].Table(stateTable("jobs/x"))), ShouldBeLessThanOrEqualTo, chunkedStateBatchEntries)
		leader.node.kill()
		c.awaitChunkedState(stores[lagging.address])
		t.Logf("%d entries of %d KB, %d chunks, the largest of %d bytes: caught up after %v",
			chunkedStateEntryCount(), chunkedStateValueBytes>>10, faults.newestChunkCount, faults.largestMessage, time.Since(began).Round(time.Millisecond))

		state := stores[lagging.address].Table(stateTable("jobs/x"))
		So(findWrongEntries(state), ShouldBeEmpty)
		if !raceflag.Enabled && !testing.Short() {
			So(stateBytes(state), ShouldBeGreaterThan, maxMessageBytes)
		}
		faults.checkFaults()
		// The replica counts towards a majority: two of three nodes are left, and they commit another entry.
		next := c.awaitValidElection()
		for !commits(next.term, []Entry{{"after", []byte{1}}}) {
			next = c.awaitValidElection()
		}
	})
}

// proposeChunkedState proposes all entries, and returns the last leader. On a busy machine, a leader may lose its lease. The next
// leader then continues.
func (c *cluster) proposeChunkedState(leader election) election {
	for first := 0; first < chunkedStateEntryCount(); first += chunkedStateBatchEntries {
		var entries []Entry
		for i := first; i < first+chunkedStateBatchEntries; i++ {
			entries = append(entries, Entry{chunkedStateKey(i), chunkedStateValue(i)})
		}
		for !commits(leader.term, entries) {
			leader = c.awaitValidElection()
		}
	}
	return leader
}

func chunkedStateKey(i int) string { return fmt.Sprintf("task/%08d", i) }
func chunkedStateValue(i int) []byte {
	return bytes.Repeat([]byte{byte(i), byte(i >> 8)}, chunkedStateValueBytes/2)
}

// findWrongEntries lists the entries of a state that are missing or have another value, and reports surplus entries.
func findWrongEntries(state map[string][]byte) (wrong []string) {
	for i := range chunkedStateEntryCount() {
		if !bytes.Equal(state[chunkedStateKey(i)], chunkedStateValue(i)) {
			wrong = append(wrong, chunkedStateKey(i))
		}
	}
	if excess := len(state) - chunkedStateEntryCount(); excess > 1 { // permits one extra entry, for the position
		wrong = append(wrong, fmt.Sprintf("%d entries too many", excess))
	}
	return wrong
}

// awaitChunkedState waits until a store contains all entries of the state. They arrive in one write.
func (c *cluster) awaitChunkedState(store *notifyingStore) {
	for len(store.Table(stateTable("jobs/x"))) < chunkedStateEntryCount() {
		_, err := receive(store.written)
		So(err, ShouldBeNil)
	}
}

// anyFollower returns a node that is not the leader.
func (c *cluster) anyFollower(leader election) *runningNode {
	for _, r := range c.nodes {
		if r != leader.node {
			return r
		}
	}
	return nil
}

// notifyingStore is an in-memory store that signals its writes.
type notifyingStore struct {
	*storage.Memory
	written chan struct{} // contains a value after a write
}

// Write implements storage.Store.
func (n *notifyingStore) Write(changes ...storage.Change) error {
	err := n.Memory.Write(changes...)
	select {
	case n.written <- struct{}{}:
	default:
	}
	return err
}

// callWithFaults makes a call with injected faults. It drops the vote requests of the target, because a candidate would fetch the
// state instead of receiving it from the leader.
func (r *runningNode) callWithFaults(ctx context.Context, faults *chunkFaults, address string, route transport.Route, request, reply any) error {
	if r.address == faults.target && route == voteCall.Route() {
		return errLostInTransit
	}
	return faults.deliver(address, request, func(request any, injectedReply *appendReply) error {
		if injectedReply != nil {
			return r.client.Call(ctx, address, route, request, injectedReply)
		}
		return r.client.Call(ctx, address, route, request, reply)
	})
}
