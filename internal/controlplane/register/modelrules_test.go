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

// omittedRules are mistakes that the exploration must find.
type omittedRules struct {
	forgetsPromises          bool // an acceptor loses its promises at once
	ignoresPromises          bool // an acceptor accepts below its promise
	votesBeforeRebuilt       bool // a member votes before it is rebuilt
	copiesDuringOpenRounds   bool // a member that lost its disk does not wait for the end of open rounds
	anyIsCommitted           bool // a majority that disagrees counts as agreed
	reappliesUnclearChange   bool // a proposer applies its function again without asking whether it took effect
	rebuildsFromOneCopy      bool // one copy is enough for a rebuild
	ignoresTheView           bool // an acceptor answers proposers of any view
	copiesBeforeLearningView bool // members that have not learned the joining member's view give it copies
}

// protocolRules runs the real cores of acceptors, proposers, merger and membership, and remembers what they did with the same
// input before.
type protocolRules struct {
	omitted   omittedRules
	writeOnce bool // the register is written once
	texts     []string
	numbers   map[string]textID
	votes     map[voteInput]voteOutput
	decisions map[decisionInput]decisionOutput
	merges    map[[3]storedTexts]storedTexts
	learned   map[learnInput]learnOutput
}

func newProtocolRules(broken omittedRules, once bool) *protocolRules {
	return &protocolRules{
		omitted: broken, writeOnce: once, texts: []string{""}, numbers: map[string]textID{"": 0},
		votes: make(map[voteInput]voteOutput), decisions: make(map[decisionInput]decisionOutput),
		merges: make(map[[3]storedTexts]storedTexts), learned: make(map[learnInput]learnOutput),
	}
}

func (r *protocolRules) intern(encoded []byte) textID {
	if number, found := r.numbers[string(encoded)]; found {
		return number
	}
	number := textID(len(r.texts))
	r.texts = append(r.texts, string(encoded))
	r.numbers[string(encoded)] = number
	return number
}

func (r *protocolRules) encode(value any) textID {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		panic(err) // the types of the register always encode
	}
	return r.intern(encoded)
}

func (r *protocolRules) accepted(number textID) (decoded acceptedState) {
	if number != 0 {
		if err := msgpack.Unmarshal([]byte(r.texts[number]), &decoded); err != nil {
			panic(err)
		}
	}
	return decoded
}

func (r *protocolRules) table(stored storedTexts) map[string][]byte {
	table := make(map[string][]byte)
	if stored.promised != 0 {
		table[promisedKey] = []byte(r.texts[stored.promised])
	}
	if stored.accepted != 0 {
		table[acceptedKey] = []byte(r.texts[stored.accepted])
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

// Table implements storage.Store; the values of the model are small and have no chunks.
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
	stored         storedTexts
	view           uint8 // of the acceptor
	learns         uint8 // the view that it learns once the vote is stored and before it is answered; 0 for none
	ready          bool
	phase          proposerPhase
	proposer       uint8
	proposalNumber uint8
	requestView    uint8 // view of the proposer
	proposed       textID
}

type voteOutput struct {
	stored   storedTexts
	failed   bool
	outcome  outcome
	view     uint8
	promised uint8  // counter of the proposal number
	accepted textID // what a granted prepare reports
}

// vote lets the real acceptor answer a request.
func (r *protocolRules) vote(in voteInput) voteOutput {
	if out, found := r.votes[in]; found {
		return out
	}
	view := modelViews[in.view]
	store := &oneTable{table: r.table(in.stored), forgets: r.omitted.forgetsPromises, written: func() {}}
	if in.learns != 0 {
		store.written = func() { view = modelViews[in.learns] }
	}
	acceptor := NewAcceptor(AcceptorConfig{
		Name: modelRegister, Store: store,
		Ready: func() bool { return in.ready || r.omitted.votesBeforeRebuilt && in.view != 0 },
		View: func() replicaset.View {
			if r.omitted.ignoresTheView {
				return modelViews[in.requestView]
			}
			return view
		},
	})
	if r.omitted.ignoresPromises && in.phase == accepting {
		delete(store.table, promisedKey)
	}
	answer, err := r.callAcceptor(acceptor, in)
	out := voteOutput{stored: in.stored, failed: err != nil, outcome: answer.Outcome, view: uint8(answer.View.Version), promised: uint8(answer.Promised.Counter)}
	out.stored = storedTexts{r.intern(store.table[promisedKey]), r.intern(store.table[acceptedKey])}
	if err == nil && answer.Outcome == granted && in.phase == preparing {
		out.accepted = in.stored.accepted
	}
	r.votes[in] = out
	return out
}

func (r *protocolRules) callAcceptor(acceptor *Acceptor, in voteInput) (reply, error) {
	proposalNumber := ProposalNumber{Counter: uint64(in.proposalNumber), Member: proposerName(int(in.proposer))}
	if in.phase == preparing {
		return acceptor.prepare(context.Background(), prepareRequest{ViewVersion: uint64(in.requestView), ProposalNumber: proposalNumber})
	}
	state := r.accepted(in.proposed).State
	return acceptor.accept(context.Background(), acceptRequest{ViewVersion: uint64(in.requestView), ProposalNumber: proposalNumber, State: state})
}

// decisionInput is what a proposer's decision after a prepare round depends on.
type decisionInput struct {
	grants         [3]textID
	granted        uint8
	sent           [maxModelAttempts]textID
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
	proposed  textID
	value     textID
}

// decide lets the real proposer decide.
func (r *protocolRules) decide(in decisionInput) decisionOutput {
	if out, found := r.decisions[in]; found {
		return out
	}
	register := New(Config{Name: modelRegister, Self: proposerName(int(in.proposer))})
	register.skipProposalCheck = r.omitted.reappliesUnclearChange
	if r.omitted.anyIsCommitted {
		register.committedReply = alwaysCommitted
	}
	p := &proposer{register: register, change: operationOf(int(in.proposer), int(in.operation), r.writeOnce)}
	for _, sent := range in.sent[:in.sents] {
		earlier := r.accepted(sent)
		p.proposals = append(p.proposals, proposal{earlier.ProposalNumber, earlier.State})
	}
	majority := &round{view: modelViews[in.view]}
	for _, grant := range in.grants[:in.granted] {
		grantedState := r.accepted(grant)
		majority.addResult(callResult{reply: reply{Outcome: granted, Accepted: grantedState.ProposalNumber, State: grantedState.State}})
	}
	proposalNumber := ProposalNumber{Counter: uint64(in.proposalNumber), Member: proposerName(int(in.proposer))}
	made, committed, err := p.afterPrepare(majority, proposalNumber)
	out := decisionOutput{err: err, committed: committed, proposes: made.isProposal, value: r.intern(made.value)}
	if err == nil {
		out.proposed = r.encode(acceptedState{ProposalNumber: proposalNumber, State: made.state})
	}
	r.decisions[in] = out
	return out
}

// merge lets the real merger rebuild a member.
func (r *protocolRules) merge(copies []storedTexts) storedTexts {
	var key [3]storedTexts
	copy(key[:], copies)
	if out, found := r.merges[key]; found {
		return out
	}
	var tables []storage.Tables
	for _, one := range copies {
		tables = append(tables, storage.Tables{modelRegister: r.table(one)})
	}
	merged, err := Merge(tables)
	if err != nil {
		panic(err)
	}
	out := storedTexts{r.intern(merged[modelRegister][promisedKey]), r.intern(merged[modelRegister][acceptedKey])}
	r.merges[key] = out
	return out
}

// certainlyNotExecuted reports whether a change that ended without success certainly had no effect.
func certainlyNotExecuted(p *proposerModel, err error) bool {
	change := &proposer{register: New(Config{Name: modelRegister}), proposals: make([]proposal, p.proposalCount)}
	return rpcerror.ExecutionOf(change.changeError(err)) == rpcerror.NotExecuted
}

var errAttemptsOver = errors.New("no attempt is left")

// managerTable and internTable carry the real manager's table in one interned text.
func (r *protocolRules) managerTable(number textID) (table map[string][]byte) {
	if number != 0 {
		if err := msgpack.Unmarshal([]byte(r.texts[number]), &table); err != nil {
			panic(err)
		}
	}
	return table
}

func (r *protocolRules) internTable(table map[string][]byte) textID {
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
