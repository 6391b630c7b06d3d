package replication

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// leadership is this node's term as leader of a group: it gathers proposals into batches, sends them to the
// followers, counts their answers, and keeps the lease.
type leadership struct {
	core      *core
	group     *group
	epoch     uint64
	term      *Term
	elected   bool
	ended     bool
	deadline  time.Duration // the term ends then unless a majority answers
	followers map[string]*follower
	history   history
	latest    Position // of the newest batch begun
	committed uint64   // sequence

	gathering map[string][]byte // of the batch that comes next
	waiting   []func()          // to call once it is committed
	begun     []func()          // to call once the batch under way is committed
}

// lead begins a term on an adopted state. Its first batch is empty, and its commitment completes the election.
func (g *group) lead(epoch uint64, adopted prepareReply, votes map[string]prepareReply) {
	l := &leadership{
		core: g.core, group: g, epoch: epoch,
		deadline:  g.core.now + g.core.timing.Round,
		followers: make(map[string]*follower),
	}
	l.term = newTerm(g.core, l)
	l.history.limits = g.core.limits
	g.leading = l
	l.matchView()
	for address, reply := range votes {
		if follower := l.followers[address]; follower != nil {
			follower.position, follower.known = reply.Position, true
		}
	}
	l.begin(adopted.Position, nil, l.adoption(adopted))
	l.pump()
}

// adoption is the local write that begins the term.
func (l *leadership) adoption(adopted prepareReply) appendRequest {
	request := l.request()
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

// matchView makes the followers those of the view.
func (l *leadership) matchView() {
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

func (l *leadership) request() appendRequest {
	return appendRequest{Group: l.group.name, Epoch: l.epoch, Leader: l.core.self, View: l.core.view.Version}
}

// begin starts the next batch: it enters the history and is written here.
func (l *leadership) begin(previous Position, values map[string][]byte, local appendRequest) {
	l.latest = Position{l.epoch, l.latest.Sequence + 1}
	l.holdHistory()
	l.history.add(newBatch(previous, l.latest, values))
	local.Position = l.latest
	l.group.replica.append(local, func(reply appendReply) {
		if reply.Outcome != accepted {
			l.end("the state here cannot go on")
		}
		l.pump()
	})
}

// beginGathered starts a batch of what has been proposed, if the earlier one is committed and written here.
func (l *leadership) beginGathered() {
	if !l.elected || l.committed < l.latest.Sequence || l.group.replica.position != l.latest {
		return
	}
	if len(l.gathering) == 0 && !l.term.Valid() {
		return // nothing shows that no other leader has been elected; the next answer of a majority does
	}
	values := l.gathering
	l.begun, l.waiting, l.gathering = l.waiting, nil, nil
	if len(values) == 0 {
		l.announce()
		return
	}
	previous := l.latest
	b := l.request()
	b.Previous = previous
	for key, value := range values {
		b.Entries = append(b.Entries, Entry{key, value})
	}
	l.begin(previous, values, b)
}

// propose queues entries for the next batch.
func (l *leadership) propose(entries []Entry, committed func()) {
	if l.check(); l.ended {
		return
	}
	for _, entry := range entries {
		if entry.Key == "" {
			continue
		}
		if l.gathering == nil {
			l.gathering = make(map[string][]byte)
		}
		l.gathering[entry.Key] = entry.Value
	}
	if committed != nil {
		l.waiting = append(l.waiting, committed)
	}
	l.pump()
}

// pump does whatever has become possible.
func (l *leadership) pump() {
	if l.ended {
		return
	}
	l.renewLease()
	l.count()
	l.elect()
	l.beginGathered()
	for _, address := range l.core.view.Members {
		if follower := l.followers[address]; follower != nil {
			l.send(address, follower)
		}
	}
	l.trim()
}

// count commits what a majority has synced, by answers that are not too old.
func (l *leadership) count() {
	sequences := make([]uint64, 0, len(l.followers)+1)
	if l.group.replica.position.Epoch == l.epoch {
		sequences = append(sequences, l.group.replica.position.Sequence)
	}
	for _, follower := range l.followers {
		if l.core.now-follower.votedAt <= l.core.timing.Round {
			sequences = append(sequences, follower.voted)
		}
	}
	quorum := l.core.view.Quorum()
	if len(sequences) < quorum {
		return
	}
	slices.Sort(sequences)
	sequence := sequences[len(sequences)-quorum]
	if sequence <= l.committed {
		return
	}
	l.committed = sequence
	if sequence == l.latest.Sequence {
		l.announce()
	}
}

// announce calls back the proposers of the batch that was under way.
func (l *leadership) announce() {
	for _, committed := range l.begun {
		l.term.enqueue(committed)
	}
	l.begun = nil
}

// elect completes the election once the adopted state is committed, is on this disk, and the lease holds.
func (l *leadership) elect() {
	if l.elected || l.committed == 0 || l.group.replica.position != l.latest || !l.term.Valid() {
		return
	}
	l.elected = true
	l.core.log.Info("leading", zap.String("group", l.group.name), zap.Uint64("epoch", l.epoch))
	state := l.core.store.Table(stateTable(l.group.name))
	l.term.announceElected(state)
	l.core.leaders.learnOne(l.group.name, feed.Leader{Address: l.core.self, Epoch: l.epoch})
}

// renewLease sets the lease by the requests that a majority has answered.
func (l *leadership) renewLease() {
	sent := make([]time.Duration, 0, len(l.followers)+1)
	sent = append(sent, l.core.now)
	for _, follower := range l.followers {
		sent = append(sent, follower.followed)
	}
	quorum := l.core.view.Quorum()
	if len(sent) < quorum {
		return
	}
	slices.Sort(sent)
	held := sent[len(sent)-quorum] + l.core.timing.LeaderLease
	l.term.extend(held)
	l.deadline = max(l.deadline, held)
}

// trim forgets the batches that all followers have.
func (l *leadership) trim() {
	least := l.committed
	for _, follower := range l.followers {
		least = min(least, follower.voted)
	}
	l.history.forget(least)
}

// check ends a term whose lease has run out, or whose node has left the view or has a stalled disk.
func (l *leadership) check() {
	switch {
	case !l.core.view.Has(l.core.self), l.core.stalled():
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
	l.group.heardAt = l.core.now
	l.core.replan = true
	l.core.log.Info("leadership ended", zap.String("group", l.group.name), zap.Uint64("epoch", l.epoch),
		zap.String("reason", reason))
	l.term.finish()
	for address, follower := range l.followers {
		l.endTransfer(address, follower)
	}
	l.gathering, l.waiting, l.begun, l.history = nil, nil, nil, history{}
}

// resign ends the term and tells the other members.
func (l *leadership) resign(leaving bool) {
	if l.ended {
		return
	}
	l.end("resigned")
	l.group.resigned(l.epoch)
	request := resignRequest{Group: l.group.name, Epoch: l.epoch, From: l.core.self, Leaving: leaving}
	for _, address := range l.core.view.Members {
		if address == l.core.self {
			continue
		}
		l.core.call(address, resignCall.Route(), l.core.timing.Beat, request, new(resignReply), func(error) {})
	}
}
