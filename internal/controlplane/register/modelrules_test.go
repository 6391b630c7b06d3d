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

// omittedRules selects rules of the protocol to omit. The model checker must find a violation for each of them.
type omittedRules struct {
	forgetsPromises              bool // an acceptor does not store its promises
	ignoresPromises              bool // an acceptor accepts below its promise
	votesBeforeRebuilt           bool // a member votes before it is rebuilt
	copiesDuringOpenRounds       bool // a member that lost its disk does not wait for the end of open rounds
	treatsAnyMajorityAsCommitted bool // a majority with different states counts as committed
	reappliesUnclearChange       bool // a proposer applies its function again without checking whether it took effect
	rebuildsFromOneCopy          bool // one copy suffices for a rebuild
	ignoresView                  bool // an acceptor answers proposers of any view
	copiesBeforeLearningView     bool // members give the joining member copies before they learn its view
}

// protocolRules runs the real logic of acceptors, proposers, merging and membership. It caches the result for each input, and
// interns encoded values.
type protocolRules struct {
	omitted   omittedRules
	writeOnce bool // the register is written only once
	interned  []string
	ids       map[string]internedID
	votes     map[voteInput]voteOutput
	decisions map[decisionInput]decisionOutput
	merges    map[[3]storedIDs]storedIDs
	learned   map[learnInput]learnOutput
}

func newProtocolRules(omitted omittedRules, onlyOneWrite bool) *protocolRules {
	return &protocolRules{
		omitted: omitted, writeOnce: onlyOneWrite, interned: []string{""}, ids: map[string]internedID{"": 0},
		votes: make(map[voteInput]voteOutput), decisions: make(map[decisionInput]decisionOutput),
		merges: make(map[[3]storedIDs]storedIDs), learned: make(map[learnInput]learnOutput),
	}
}

func (r *protocolRules) intern(encoded []byte) internedID {
	if id, found := r.ids[string(encoded)]; found {
		return id
	}
	newID := internedID(len(r.interned))
	r.interned = append(r.interned, string(encoded))
	r.ids[string(encoded)] = newID
	return newID
}

func (r *protocolRules) encode(value any) internedID {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		panic(err) // the types of the register can always be encoded
	}
	return r.intern(encoded)
}

func (r *protocolRules) decodeAccepted(id internedID) (decoded acceptedState) {
	if id != 0 {
		if err := msgpack.Unmarshal([]byte(r.interned[id]), &decoded); err != nil {
			panic(err)
		}
	}
	return decoded
}

func (r *protocolRules) decodeTable(stored storedIDs) map[string][]byte {
	table := make(map[string][]byte)
	if stored.promised != 0 {
		table[promisedKey] = []byte(r.interned[stored.promised])
	}
	if stored.accepted != 0 {
		table[acceptedKey] = []byte(r.interned[stored.accepted])
	}
	return table
}

// singleTableStore is a store with the table of one register.
type singleTableStore struct {
	table         map[string][]byte
	onWrite       func() // called after a write is durable
	dropsPromises bool
}

func (s *singleTableStore) Tables() []string { return nil }

// Table implements storage.Store. The values of the model are small, so there is no table of chunks.
func (s *singleTableStore) Table(name string) map[string][]byte {
	if isChunksTable(name) {
		return nil
	}
	return s.table
}

// Write implements storage.Store.
func (s *singleTableStore) Write(changes ...storage.Change) error {
	for _, change := range changes {
		if !s.dropsPromises || change.Key != promisedKey {
			s.table[change.Key] = change.Value
		}
	}
	s.onWrite()
	return nil
}

// voteInput is everything that an acceptor's answer depends on.
type voteInput struct {
	stored         storedIDs
	view           uint8 // view of the acceptor
	learnedView    uint8 // view that the acceptor learns after it has stored its vote and before it answers; 0 for none
	ready          bool
	phase          proposerPhase
	proposer       uint8
	proposalNumber uint8
	requestView    uint8 // view of the proposer
	proposed       internedID
}

type voteOutput struct {
	stored   storedIDs
	failed   bool
	outcome  outcome
	view     uint8
	promised uint8      // counter of the proposal number
	accepted internedID // accepted state that a granted prepare reports
}

// vote returns the answer of the real acceptor to a request.
func (r *protocolRules) vote(in voteInput) voteOutput {
	if out, found := r.votes[in]; found {
		return out
	}
	view := modelViews[in.view]
	store := &singleTableStore{table: r.decodeTable(in.stored), dropsPromises: r.omitted.forgetsPromises, onWrite: func() {}}
	if in.learnedView != 0 {
		store.onWrite = func() { view = modelViews[in.learnedView] }
	}
	acceptor := NewAcceptor(AcceptorConfig{
		Name: modelRegister, Store: store,
		Ready: func() bool { return in.ready || r.omitted.votesBeforeRebuilt && in.view != 0 },
		View: func() replicaset.View {
			if r.omitted.ignoresView {
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
	out.stored = storedIDs{r.intern(store.table[promisedKey]), r.intern(store.table[acceptedKey])}
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
	state := r.decodeAccepted(in.proposed).State
	return acceptor.accept(context.Background(), acceptRequest{ViewVersion: uint64(in.requestView), ProposalNumber: proposalNumber, State: state})
}

// decisionInput is everything that a proposer's decision after a prepare round depends on.
type decisionInput struct {
	grants         [3]internedID
	grantCount     uint8
	proposals      [maxModelAttempts]internedID
	proposalCount  uint8
	proposer       uint8
	operation      uint8
	proposalNumber uint8
	view           uint8
}

type decisionOutput struct {
	err       error
	committed bool
	proposes  bool
	proposed  internedID
	value     internedID
}

// decide returns the decision of the real proposer.
func (r *protocolRules) decide(in decisionInput) decisionOutput {
	if out, found := r.decisions[in]; found {
		return out
	}
	register := New(Config{Name: modelRegister, Self: proposerName(int(in.proposer))})
	register.skipProposalCheck = r.omitted.reappliesUnclearChange
	if r.omitted.treatsAnyMajorityAsCommitted {
		register.committedReply = alwaysCommitted
	}
	p := &proposer{register: register, change: operationOf(int(in.proposer), int(in.operation), r.writeOnce)}
	for _, sent := range in.proposals[:in.proposalCount] {
		earlier := r.decodeAccepted(sent)
		p.proposals = append(p.proposals, proposal{earlier.ProposalNumber, earlier.State})
	}
	majority := &round{view: modelViews[in.view]}
	for _, grant := range in.grants[:in.grantCount] {
		grantedState := r.decodeAccepted(grant)
		majority.addResult(callResult{reply: reply{Outcome: granted, Accepted: grantedState.ProposalNumber, State: grantedState.State}})
	}
	proposalNumber := ProposalNumber{Counter: uint64(in.proposalNumber), Member: proposerName(int(in.proposer))}
	decided, committed, err := p.afterPrepare(majority, proposalNumber)
	out := decisionOutput{err: err, committed: committed, proposes: decided.isProposal, value: r.intern(decided.value)}
	if err == nil {
		out.proposed = r.encode(acceptedState{ProposalNumber: proposalNumber, State: decided.state})
	}
	r.decisions[in] = out
	return out
}

// merge returns the result of the real Merge for a member that is rebuilt.
func (r *protocolRules) merge(copies []storedIDs) storedIDs {
	var key [3]storedIDs
	copy(key[:], copies)
	if out, found := r.merges[key]; found {
		return out
	}
	var tables []storage.Tables
	for _, one := range copies {
		tables = append(tables, storage.Tables{modelRegister: r.decodeTable(one)})
	}
	merged, err := Merge(tables)
	if err != nil {
		panic(err)
	}
	out := storedIDs{r.intern(merged[modelRegister][promisedKey]), r.intern(merged[modelRegister][acceptedKey])}
	r.merges[key] = out
	return out
}

// certainlyNotExecuted reports whether a failed change certainly had no effect.
func certainlyNotExecuted(p *proposerModel, err error) bool {
	change := &proposer{register: New(Config{Name: modelRegister}), proposals: make([]proposal, p.proposalCount)}
	return rpcerror.ExecutionOf(change.changeError(err)) == rpcerror.NotExecuted
}

var errNoAttemptLeft = errors.New("no attempt is left")

// decodeManagerTable decodes the table of the real manager, which internTable has interned.
func (r *protocolRules) decodeManagerTable(id internedID) (table map[string][]byte) {
	if id != 0 {
		if err := msgpack.Unmarshal([]byte(r.interned[id]), &table); err != nil {
			panic(err)
		}
	}
	return table
}

// internTable interns the table of the real manager in a canonical encoding.
func (r *protocolRules) internTable(table map[string][]byte) internedID {
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
