package replication

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
	"puffinlink.example/puffinlink/internal/random"
)

type pendingWrite struct {
	changes []storage.Change
	applied bool
}

type simulatedNode struct {
	simulation    *simulation
	address       string
	view          replicaset.View // newest view known to this node
	disk          disk
	realStore     *simulatedStore // same content as disk; nil unless the simulation has real stores
	core          *core
	terms         map[string]*Term // newest term of this node by group
	pendingWrites []*pendingWrite
	up, ready     bool
	diskLost      bool // the disk was lost and has not been rebuilt
	incarnation   int
	frozenUntil   time.Duration
	tickNumber    int
}

func (n *simulatedNode) start() {
	s := n.simulation
	if n.up {
		return
	}
	n.incarnation++
	n.up, n.ready = true, !n.diskLost || s.defects.noRebuild
	n.terms, n.pendingWrites = make(map[string]*Term), nil
	n.core = newCore(Config{
		Self: n.address, Store: nil, Handler: n, Log: zap.NewNop(), Clock: s, Timing: s.timing, Limits: s.limits,
	}, random.PCG(s.random.Uint64()))
	n.core.store = n.disk
	if s.realStores {
		if n.realStore == nil {
			n.realStore = newSimulatedStore(storagetest.NewDisk())
		}
		n.core.store = n.realStore.store
	}
	n.core.runStep = n.step
	n.core.spawn = func(run func()) { n.runLater(s.randomBetween(0, time.Millisecond), run) }
	n.core.restore()
	if s.defects.forgetLeasesOnRestart {
		n.runLater(0, func() {
			for _, g := range n.core.groups {
				g.replica.noVoteBefore = 0
			}
		})
	}
	n.step(func() {
		for _, group := range s.groups {
			n.core.ensureGroup(group)
		}
	})
	if n.diskLost && !s.defects.noRebuild {
		n.runLater(2200*time.Millisecond, n.rebuild)
	}
	n.tick()
}

// rebuild merges copies of the tables of a quorum of other members. Each copy is made at a different time.
func (n *simulatedNode) rebuild() {
	s := n.simulation
	var copies []map[string]map[string][]byte
	for _, address := range n.view.Members {
		if address == n.address {
			continue
		}
		n.runLater(s.randomBetween(0, 20*time.Millisecond), func() {
			other := s.nodes[address]
			if !other.up || !other.ready || other.view.Version < n.view.Version || other.frozenUntil > s.now || s.partitions[link{n.address, address}] || s.partitions[link{address, n.address}] {
				return
			}
			copies = append(copies, other.disk.clone())
		})
	}
	n.runLater(40*time.Millisecond, func() {
		if len(copies) < n.view.Quorum() {
			n.runLater(100*time.Millisecond, n.rebuild)
			return
		}
		n.makeDurable(replaceTables(MergeTables(copies)))
		n.diskLost, n.ready = false, true
		n.step(func() {})
	})
}

// runLater runs a function after a delay, and after the end of a freeze. It does nothing if the process has ended by then.
func (n *simulatedNode) runLater(delay time.Duration, run func()) {
	incarnation := n.incarnation
	var attempt func()
	attempt = func() {
		if !n.up || n.incarnation != incarnation {
			return
		}
		if wait := n.frozenUntil - n.simulation.now; wait > 0 {
			n.simulation.schedule(wait, attempt)
			return
		}
		run()
	}
	n.simulation.schedule(delay, attempt)
}

// kill ends the process. Each write in progress may or may not have reached the disk.
func (n *simulatedNode) kill(loseDisk bool) {
	if n.realStore != nil && n.up {
		n.losePower()
		n.pendingWrites = nil
	}
	for _, write := range n.pendingWrites {
		if !write.applied && n.simulation.random.IntN(2) == 0 {
			n.disk.apply(write.changes, n.simulation.defects.forgetTerms)
		}
	}
	n.up, n.ready, n.frozenUntil = false, false, 0
	if loseDisk {
		n.disk, n.diskLost = make(disk), true
		if n.realStore != nil {
			n.realStore.store.Close()
			n.realStore = newSimulatedStore(storagetest.NewDisk())
		}
	}
}

func (n *simulatedNode) tick() {
	n.tickNumber++
	number := n.tickNumber
	var next time.Duration
	n.step(func() { next = n.core.tick() })
	if n.tickNumber != number {
		return
	}
	n.runLater(max(next-n.simulation.now, time.Millisecond), func() {
		if n.tickNumber == number {
			n.tick()
		}
	})
}

func (n *simulatedNode) step(step func()) {
	n.core.updateInputs(n.simulation.now, n.view, n.ready)
	step()
	requested := n.core.takeEffects()
	if n.core.tickRequested {
		n.core.tickRequested = false
		n.runLater(0, n.tick)
	}
	for _, write := range requested.writes {
		n.write(write)
	}
	for _, call := range requested.calls {
		n.call(call)
	}
}

func (n *simulatedNode) write(write storeWrite) {
	s := n.simulation
	pending := &pendingWrite{changes: write.changes}
	n.pendingWrites = slices.DeleteFunc(n.pendingWrites, func(p *pendingWrite) bool { return p.applied })
	n.pendingWrites = append(n.pendingWrites, pending)
	delay := s.randomBetween(time.Millisecond, 8*time.Millisecond) + s.slowDisks[n.address] + max(0, s.stalledUntil[n.address]-s.now)
	n.runLater(delay, func() {
		pending.applied = true
		if s.fullDisks[n.address] {
			n.step(func() { write.done(errDiskFull) })
			return
		}
		n.makeDurable(write.changes)
		n.step(func() { write.done(nil) })
	})
}

func (s *simulation) randomMessageDelay() time.Duration {
	if s.random.IntN(50) == 0 {
		return s.randomBetween(time.Millisecond, 250*time.Millisecond)
	}
	return s.randomBetween(500*time.Microsecond, 3*time.Millisecond)
}

func (s *simulation) drops(from, to string) bool {
	return s.partitions[link{from, to}] || s.random.Float64() < s.lossRate
}

func (n *simulatedNode) call(call rpc) {
	s := n.simulation
	ended := false
	finish := func(err error) {
		if !ended {
			ended = true
			n.step(func() { call.done(err) })
		}
	}
	n.runLater(call.timeout, func() { finish(errTimeout) })
	s.recordMessage(call.request)
	s.traffic.recordSnapshotChunk(call.address, call.request)
	body := encode(call.request)
	if s.drops(n.address, call.address) {
		n.forgeAcknowledgement(call, finish)
		return
	}
	arrive := func() {
		target := s.nodes[call.address]
		if target == nil || !target.up {
			n.runLater(s.randomMessageDelay(), func() { finish(errRefused) })
			return
		}
		target.runLater(0, func() { target.serve(n, call, body, finish) })
	}
	s.schedule(s.randomMessageDelay()+s.slowLinks[call.address], arrive)
	if s.random.Float64() < s.duplicateRate {
		s.schedule(s.randomBetween(0, 1200*time.Millisecond), func() {
			if target := s.nodes[call.address]; target != nil && target.up {
				target.runLater(0, func() { target.serve(n, call, body, func(error) {}) })
			}
		})
	}
}

// forgeAcknowledgement acknowledges a lost append request if the defect forgeAcknowledgements is injected.
func (n *simulatedNode) forgeAcknowledgement(call rpc, finish func(error)) {
	request, isAppend := call.request.(appendRequest)
	if !isAppend || !n.simulation.defects.forgeAcknowledgements {
		return
	}
	n.runLater(time.Millisecond, func() {
		*call.reply.(*appendReply) = appendReply{Outcome: accepted, Term: request.Term, Position: request.Position}
		finish(nil)
	})
}

func encode(message any) []byte {
	body, err := msgpack.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

func decode[Message any](body []byte) Message {
	var message Message
	if err := msgpack.Unmarshal(body, &message); err != nil {
		panic(err)
	}
	return message
}

// serve handles a request on the target node and sends the reply to the caller.
func (n *simulatedNode) serve(from *simulatedNode, call rpc, body []byte, finish func(error)) {
	reply := func(answer any) {
		n.simulation.recordMessage(answer)
		content := encode(answer)
		if n.simulation.drops(n.address, from.address) {
			return
		}
		from.runLater(n.simulation.randomMessageDelay(), func() {
			if err := msgpack.Unmarshal(content, call.reply); err != nil {
				panic(err)
			}
			finish(nil)
		})
	}
	n.step(func() {
		switch call.route.Path() {
		case voteCall.Path():
			request := decode[voteRequest](body)
			n.corruptView(&request.View)
			n.core.requestVote(request, func(r voteReply) { reply(r) })
		case appendCall.Path():
			request := decode[appendRequest](body)
			n.corruptAppend(request)
			n.corruptView(&request.View)
			n.core.append(request, func(r appendReply) { reply(r) })
		case snapshotCall.Path():
			request := decode[snapshotRequest](body)
			n.corruptView(&request.View)
			n.core.serveSnapshot(request, func(r snapshotReply) { reply(r) })
		case pingCall.Path():
			request := decode[pingRequest](body)
			n.corruptView(&request.View)
			n.core.ping(request, func(r pingReply) { reply(r) })
		case resignCall.Path():
			n.core.handleResignation(decode[resignRequest](body))
			reply(resignReply{})
		}
	})
}

// corruptAppend changes the position of the replica so that it accepts a request that it must reject, if such a defect is
// injected.
func (n *simulatedNode) corruptAppend(request appendRequest) {
	r := &n.core.group(request.Group).replica
	if r.writing || request.Term != r.currentTerm {
		return
	}
	if n.simulation.defects.acceptStaleSnapshots && request.Snapshot {
		r.position = Position{}
	}
	if n.simulation.defects.acceptMismatchedBatches && !request.Snapshot {
		r.position = request.Previous
	}
}

// corruptView raises the view of a request to the view of this node if the defect ignoreViews is injected.
func (n *simulatedNode) corruptView(view *uint64) {
	if n.simulation.defects.ignoreViews {
		*view = max(*view, n.view.Version)
	}
}

func (n *simulatedNode) holdsLease(group string) bool {
	term := n.terms[group]
	return term != nil && term.Valid()
}
