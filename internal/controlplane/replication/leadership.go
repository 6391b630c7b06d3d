package replication

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// leadership is this node's term as leader of a group: it gathers proposals into batches, sends them to the
// followers, counts their acknowledgements, and renews the lease.
type leadership struct {
	core         *core
	group        *group
	termNumber   uint64
	handle       *Term
	elected      bool
	ended        bool
	deadline     time.Duration // the term ends then unless a majority answers
	followers    map[string]*follower
	history      history
	lastPosition Position // of the newest batch begun
	commitIndex  uint64   // of the newest committed batch of the term; 0 before the first

	pending           map[string][]byte // of the batch that comes next
	pendingCallbacks  []func()          // to call once it is committed
	inFlightCallbacks []func()          // to call once the batch under way is committed
}

// startLeading begins a term on an adopted state. Its first batch is empty, and its commitment completes the election.
func (g *group) startLeading(term uint64, adopted voteReply, votes map[string]voteReply) {
	l := &leadership{
		core: g.core, group: g, termNumber: term,
		deadline:  g.core.now + g.core.timing.ReplyTimeout,
		followers: make(map[string]*follower),
	}
	l.handle = newTerm(g.core, l)
	l.history.limits = g.core.limits
	g.leading = l
	l.updateFollowers()
	for address, reply := range votes {
		if follower := l.followers[address]; follower != nil {
			follower.position, follower.known = reply.Position, true
		}
	}
	l.startBatch(adopted.Position, nil, l.adoptionRequest(adopted))
	l.advance()
}

// adoptionRequest is the local write that begins the term.
func (l *leadership) adoptionRequest(adopted voteReply) appendRequest {
	request := l.appendRequestHeader()
	request.Previous = adopted.Position
	if adopted.Position == l.group.replica.position {
		return request
	}
	request.Snapshot = true
	for key, value := range adopted.State {
		request.Entries = append(request.Entries, Entry{key, value})
	}
	return request
}

// updateFollowers makes the followers those of the view.
func (l *leadership) updateFollowers() {
	for _, address := range l.core.view.Members {
		if address != l.core.self && l.followers[address] == nil {
			l.followers[address] = newFollower()
		}
	}
	for address := range l.followers {
		if !l.core.view.Has(address) {
			l.endTransfer(address, l.followers[address])
			delete(l.followers, address)
		}
	}
}

func (l *leadership) appendRequestHeader() appendRequest {
	return appendRequest{Group: l.group.name, Term: l.termNumber, Leader: l.core.self, View: l.core.view.Version}
}

// startBatch starts the next batch: it enters the history and is written here.
func (l *leadership) startBatch(previous Position, values map[string][]byte, local appendRequest) {
	l.lastPosition = Position{l.termNumber, l.lastPosition.Index + 1}
	l.updateHistoryLimits()
	l.history.add(newBatch(previous, l.lastPosition, values))
	local.Position = l.lastPosition
	l.group.replica.append(local, func(reply appendReply) {
		if reply.Outcome != accepted {
			l.end("the local append failed")
		}
		l.advance()
	})
}

// startPendingBatch starts a batch of what has been proposed, if the earlier one is committed and written here.
func (l *leadership) startPendingBatch() {
	if !l.elected || l.commitIndex < l.lastPosition.Index || l.group.replica.position != l.lastPosition {
		return
	}
	if len(l.pending) == 0 && !l.handle.Valid() {
		return // another leader may have been elected; the next acknowledgement of a majority shows that none was
	}
	values := l.pending
	l.inFlightCallbacks, l.pendingCallbacks, l.pending = l.pendingCallbacks, nil, nil
	if len(values) == 0 {
		l.notifyCommitted()
		return
	}
	previous := l.lastPosition
	b := l.appendRequestHeader()
	b.Previous = previous
	for key, value := range values {
		b.Entries = append(b.Entries, Entry{key, value})
	}
	l.startBatch(previous, values, b)
}

// propose adds entries to the next batch.
func (l *leadership) propose(entries []Entry, committed func()) {
	if l.checkLease(); l.ended {
		return
	}
	for _, entry := range entries {
		if entry.Key == "" {
			continue
		}
		if l.pending == nil {
			l.pending = make(map[string][]byte)
		}
		l.pending[entry.Key] = entry.Value
	}
	if committed != nil {
		l.pendingCallbacks = append(l.pendingCallbacks, committed)
	}
	l.advance()
}

// advance does whatever has become possible.
func (l *leadership) advance() {
	if l.ended {
		return
	}
	l.renewLease()
	l.advanceCommitIndex()
	l.completeElection()
	l.startPendingBatch()
	for _, address := range l.core.view.Members {
		if follower := l.followers[address]; follower != nil {
			l.replicate(address, follower)
		}
	}
	l.trimHistory()
}

// advanceCommitIndex commits what a majority has synced, by acknowledgements that are not too old. The matching indexes are of
// this term alone, as only those may be counted (Ongaro's thesis, 3.6.2).
func (l *leadership) advanceCommitIndex() {
	sequences := make([]uint64, 0, len(l.followers)+1)
	if l.group.replica.position.Term == l.termNumber {
		sequences = append(sequences, l.group.replica.position.Index)
	}
	for _, follower := range l.followers {
		if l.core.now-follower.matchSentAt <= l.core.timing.ReplyTimeout {
			sequences = append(sequences, follower.matchIndex)
		}
	}
	quorum := l.core.view.Quorum()
	if len(sequences) < quorum {
		return
	}
	slices.Sort(sequences)
	sequence := sequences[len(sequences)-quorum]
	if sequence <= l.commitIndex {
		return
	}
	l.commitIndex = sequence
	if sequence == l.lastPosition.Index {
		l.notifyCommitted()
	}
}

// notifyCommitted calls back the proposers of the batch that was under way.
func (l *leadership) notifyCommitted() {
	for _, committed := range l.inFlightCallbacks {
		l.handle.enqueue(committed)
	}
	l.inFlightCallbacks = nil
}

// completeElection completes the election once the adopted state is committed, is on this disk, and the lease holds.
func (l *leadership) completeElection() {
	if l.elected || l.commitIndex == 0 || l.group.replica.position != l.lastPosition || !l.handle.Valid() {
		return
	}
	l.elected = true
	l.core.log.Info("leading", zap.String("group", l.group.name), zap.Uint64("term", l.termNumber))
	state := l.core.store.Table(stateTable(l.group.name))
	l.handle.announceElected(state)
	l.core.leaders.updateGroup(l.group.name, feed.Leader{Address: l.core.self, Term: l.termNumber})
}

// renewLease extends the lease: it counts from when the newest requests were sent that a majority has acknowledged.
func (l *leadership) renewLease() {
	sent := make([]time.Duration, 0, len(l.followers)+1)
	sent = append(sent, l.core.now)
	for _, follower := range l.followers {
		sent = append(sent, follower.acknowledgedAt)
	}
	quorum := l.core.view.Quorum()
	if len(sent) < quorum {
		return
	}
	slices.Sort(sent)
	leaseEnd := sent[len(sent)-quorum] + l.core.timing.LeaderLease
	l.handle.extend(leaseEnd)
	l.deadline = max(l.deadline, leaseEnd)
}

// trimHistory drops the batches that all followers have.
func (l *leadership) trimHistory() {
	least := l.commitIndex
	for _, follower := range l.followers {
		least = min(least, follower.matchIndex)
	}
	l.history.discardThrough(least)
}

// checkLease ends a term whose lease has run out, or whose node has left the view or has a stalled disk.
func (l *leadership) checkLease() {
	switch {
	case !l.core.view.Has(l.core.self), l.core.diskStalled():
		l.resign(false)
	case l.core.now >= l.deadline:
		l.end("no majority answers")
	}
}

// end ends the term.
func (l *leadership) end(reason string) {
	if l.ended {
		return
	}
	l.ended = true
	l.group.leading = nil
	l.group.lastContact = l.core.now
	l.core.tickEarlier = true
	l.core.log.Info("leadership ended", zap.String("group", l.group.name), zap.Uint64("term", l.termNumber),
		zap.String("reason", reason))
	l.handle.finish()
	for address, follower := range l.followers {
		l.endTransfer(address, follower)
	}
	l.pending, l.pendingCallbacks, l.inFlightCallbacks, l.history = nil, nil, nil, history{}
}

// resign ends the term and notifies the other members.
func (l *leadership) resign(stopping bool) {
	if l.ended {
		return
	}
	l.end("resigned")
	l.group.leaderResigned(l.termNumber)
	request := resignRequest{Group: l.group.name, Term: l.termNumber, From: l.core.self, Stopping: stopping}
	for _, address := range l.core.view.Members {
		if address == l.core.self {
			continue
		}
		l.core.call(address, resignCall.Route(), l.core.timing.HeartbeatInterval, request, new(resignReply), func(error) {})
	}
}
