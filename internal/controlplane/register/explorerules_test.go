package register

import (
	"bytes"
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// brokenRules are mistakes that the exploration must find.
type brokenRules struct {
	forgetsPromises  bool // an acceptor loses its promises at once
	ignoresPromises  bool // an acceptor accepts below its promise
	votesIncomplete  bool // a member votes before it is rebuilt
	copiesEarly      bool // a member that lost its disk does not wait for the end of open rounds
	anyIsCommitted   bool // a majority that disagrees counts as agreed
	appliesAgain     bool // a proposer applies its function again without asking whether it took effect
	oneCopy          bool // one copy is enough for a rebuild
	ignoresTheView   bool // an acceptor answers proposers of any view
	rebuiltOfOldView bool // members that have not learned the joining member's view give it copies
}

// rules runs the real cores of acceptors, proposers, merger and membership, and remembers what they did with the same
// input before.
type rules struct {
	broken    brokenRules
	once      bool // the register is written once
	texts     []string
	numbers   map[string]text
	votes     map[voteInput]voteOutput
	decisions map[decisionInput]decisionOutput
	merges    map[[3]replicaState]replicaState
	learned   map[learnInput]learnOutput
}

func newRules(broken brokenRules, once bool) *rules {
	return &rules{
		broken: broken, once: once, texts: []string{""}, numbers: map[string]text{"": 0},
		votes: make(map[voteInput]voteOutput), decisions: make(map[decisionInput]decisionOutput),
		merges: make(map[[3]replicaState]replicaState), learned: make(map[learnInput]learnOutput),
	}
}

func (r *rules) intern(encoded []byte) text {
	if number, found := r.numbers[string(encoded)]; found {
		return number
	}
	number := text(len(r.texts))
	r.texts = append(r.texts, string(encoded))
	r.numbers[string(encoded)] = number
	return number
}

func (r *rules) encode(value any) text {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		panic(err) // the types of the register always encode
	}
	return r.intern(encoded)
}

func (r *rules) accepted(number text) (decoded acceptedState) {
	if number != 0 {
		if err := msgpack.Unmarshal([]byte(r.texts[number]), &decoded); err != nil {
			panic(err)
		}
	}
	return decoded
}

func (r *rules) table(held replicaState) map[string][]byte {
	table := make(map[string][]byte)
	if held.promised != 0 {
		table[promisedKey] = []byte(r.texts[held.promised])
	}
	if held.accepted != 0 {
		table[acceptedKey] = []byte(r.texts[held.accepted])
	}
	return table
}

// oneTable is a store with the table of one register.
type oneTable struct {
	table   map[string][]byte
	written func() // called once a write is durable
	forgets bool
}

func (s *oneTable) Tables() []string { return nil }

// Table implements storage.Store; the explored values are small and have no parts.
func (s *oneTable) Table(name string) map[string][]byte {
	if isChunksTable(name) {
		return nil
	}
	return s.table
}

// Write implements storage.Store.
func (s *oneTable) Write(changes ...storage.Change) error {
	for _, change := range changes {
		if !s.forgets || change.Key != promisedKey {
			s.table[change.Key] = change.Value
		}
	}
	s.written()
	return nil
}

// voteInput is what an acceptor's answer depends on.
type voteInput struct {
	held           replicaState
	view           uint8 // of the acceptor
	learns         uint8 // the view that it learns once the vote is stored and before it is answered; 0 for none
	ready          bool
	phase          phase
	proposer       uint8
	proposalNumber uint8
	asked          uint8 // view of the proposer
	proposed       text
}

type voteOutput struct {
	held     replicaState
	failed   bool
	outcome  outcome
	view     uint8
	promised uint8 // counter of the proposal number
	accepted text  // what a granted prepare reports
}

// vote lets the real acceptor answer a request.
func (r *rules) vote(in voteInput) voteOutput {
	if out, found := r.votes[in]; found {
		return out
	}
	view := exploredViews[in.view]
	store := &oneTable{table: r.table(in.held), forgets: r.broken.forgetsPromises, written: func() {}}
	if in.learns != 0 {
		store.written = func() { view = exploredViews[in.learns] }
	}
	acceptor := NewAcceptor(AcceptorConfig{
		Name: exploredName, Store: store,
		Ready: func() bool { return in.ready || r.broken.votesIncomplete && in.view != 0 },
		View: func() replicaset.View {
			if r.broken.ignoresTheView {
				return exploredViews[in.asked]
			}
			return view
		},
	})
	if r.broken.ignoresPromises && in.phase == accepting {
		delete(store.table, promisedKey)
	}
	answer, err := r.ask(acceptor, in)
	out := voteOutput{held: in.held, failed: err != nil, outcome: answer.Outcome, view: uint8(answer.View.Version), promised: uint8(answer.Promised.Counter)}
	out.held = replicaState{r.intern(store.table[promisedKey]), r.intern(store.table[acceptedKey])}
	if err == nil && answer.Outcome == granted && in.phase == preparing {
		out.accepted = in.held.accepted
	}
	r.votes[in] = out
	return out
}

func (r *rules) ask(acceptor *Acceptor, in voteInput) (reply, error) {
	proposalNumber := ProposalNumber{Counter: uint64(in.proposalNumber), Member: proposerName(int(in.proposer))}
	if in.phase == preparing {
		return acceptor.prepare(context.Background(), prepareRequest{ViewVersion: uint64(in.asked), ProposalNumber: proposalNumber})
	}
	state := r.accepted(in.proposed).State
	return acceptor.accept(context.Background(), acceptRequest{ViewVersion: uint64(in.asked), ProposalNumber: proposalNumber, State: state})
}

// decisionInput is what a proposer's decision after a prepare round depends on.
type decisionInput struct {
	grants         [3]text
	granted        uint8
	sent           [mostAttempts]text
	sents          uint8
	proposer       uint8
	operation      uint8
	proposalNumber uint8
	view           uint8
}

type decisionOutput struct {
	err       error
	committed bool
	proposes  bool
	proposed  text
	value     text
}

// decide lets the real proposer decide.
func (r *rules) decide(in decisionInput) decisionOutput {
	if out, found := r.decisions[in]; found {
		return out
	}
	register := New(Config{Name: exploredName, Self: proposerName(int(in.proposer))})
	register.forgetsProposals = r.broken.appliesAgain
	if r.broken.anyIsCommitted {
		register.committed = always
	}
	p := &proposer{register: register, change: operationOf(int(in.proposer), int(in.operation), r.once)}
	for _, sent := range in.sent[:in.sents] {
		earlier := r.accepted(sent)
		p.sent = append(p.sent, proposal{earlier.ProposalNumber, earlier.State})
	}
	majority := &round{view: exploredViews[in.view]}
	for _, grant := range in.grants[:in.granted] {
		held := r.accepted(grant)
		majority.count(answer{reply: reply{Outcome: granted, Accepted: held.ProposalNumber, State: held.State}})
	}
	proposalNumber := ProposalNumber{Counter: uint64(in.proposalNumber), Member: proposerName(int(in.proposer))}
	made, committed, err := p.prepared(majority, proposalNumber)
	out := decisionOutput{err: err, committed: committed, proposes: made.proposes, value: r.intern(made.value)}
	if err == nil {
		out.proposed = r.encode(acceptedState{ProposalNumber: proposalNumber, State: made.state})
	}
	r.decisions[in] = out
	return out
}

// merge lets the real merger rebuild a member.
func (r *rules) merge(copies []replicaState) replicaState {
	var key [3]replicaState
	copy(key[:], copies)
	if out, found := r.merges[key]; found {
		return out
	}
	var tables []storage.Tables
	for _, one := range copies {
		tables = append(tables, storage.Tables{exploredName: r.table(one)})
	}
	merged, err := Merge(tables)
	if err != nil {
		panic(err)
	}
	out := replicaState{r.intern(merged[exploredName][promisedKey]), r.intern(merged[exploredName][acceptedKey])}
	r.merges[key] = out
	return out
}

// ranNot tells whether a change that ended without success certainly had no effect.
func ranNot(p *proposerState, err error) bool {
	real := &proposer{register: New(Config{Name: exploredName}), sent: make([]proposal, p.sents)}
	return rpcerror.Of(real.failed(err)) == rpcerror.NotRun
}

var errAttemptsOver = errors.New("no attempt is left")

// managerTable and internTable carry the real manager's table in one interned text.
func (r *rules) managerTable(number text) (table map[string][]byte) {
	if number != 0 {
		if err := msgpack.Unmarshal([]byte(r.texts[number]), &table); err != nil {
			panic(err)
		}
	}
	return table
}

func (r *rules) internTable(table map[string][]byte) text {
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.SetSortMapKeys(true)
	sorted := make(map[string]any, len(table))
	for key, value := range table {
		sorted[key] = value
	}
	if err := encoder.Encode(sorted); err != nil {
		panic(err)
	}
	return r.intern(encoded.Bytes())
}
