package replication

import "puffinlink.example/puffinlink/internal/controlplane/storage"

// fetch copies a newer state from a member in parts, before this node stands for election. What is fetched is a state
// that a leader made and that the member holds, under the leader's own position; so holding it as well takes nothing
// back, whether it is committed or not. It is no answer to that leader, so it counts in no majority by itself.
type fetch struct {
	group    *group
	from     string
	position Position
	entries  []Entry
	next     uint32 // part
	tries    int    // of the next part
}

// fetchTries is how often a part is asked for.
const fetchTries = 3

func (g *group) fetch(from string, position Position) {
	f := &fetch{group: g, from: from, position: position}
	g.fetching = f
	f.ask()
}

func (f *fetch) ask() {
	core := f.group.core
	request := stateRequest{Group: f.group.name, View: core.view.Version, Position: f.position, Chunk: f.next}
	reply := new(stateReply)
	core.call(f.from, stateCall.Route(), core.timing.Transfer, request, reply, func(err error) { f.take(*reply, err) })
}

// take adds the part that was asked for.
func (f *fetch) take(reply stateReply, err error) {
	switch {
	case !f.needed():
		f.end()
	case err != nil:
		if f.tries++; f.tries >= fetchTries {
			f.end()
			return
		}
		f.ask()
	case f.next >= reply.Chunks: // the member is elsewhere by now
		f.end()
	default:
		f.entries = append(f.entries, reply.Entries...)
		f.next, f.tries = f.next+1, 0
		if f.next < reply.Chunks {
			f.ask()
			return
		}
		f.group.replica.whenIdle(f.install)
	}
}

// needed tells whether the state is still worth having: there is no leader, and nothing newer here.
func (f *fetch) needed() bool {
	g := f.group
	held := g.core.now < g.replica.lease.until
	return g.leading == nil && !held && !g.core.stopping && g.core.mayCampaign(g) && g.replica.position.Before(f.position)
}

// install replaces the state here in one write.
func (f *fetch) install() {
	if !f.needed() {
		f.end()
		return
	}
	r := &f.group.replica
	changes := []storage.Change{{Table: stateTable(f.group.name)}}
	for _, entry := range f.entries {
		changes = append(changes, storage.Change{Table: stateTable(f.group.name), Key: entry.Key, Value: entry.Value})
	}
	if r.promised < f.position.Epoch {
		r.raise(f.position.Epoch, "")
	}
	promised := r.promised
	changes = append(changes, promiseChanges(f.group.name, promised, r.candidate)...)
	r.persist(append(changes, positionChange(f.group.name, f.position)), func() {
		r.synced, r.position = promised, f.position
		f.end()
	}, f.end)
}

// end lets this node campaign again.
func (f *fetch) end() {
	f.group.fetching = nil
	f.group.retryLater()
}

// givenState is a copy of the state that others are fetching.
type givenState struct {
	position Position
	chunks   [][]Entry
}

// give answers one who fetches the state of a position.
func (r *replica) give(request stateRequest, reply func(stateReply)) {
	r.whenIdle(func() {
		if !r.core.serves(request.View) || r.position != request.Position {
			r.given = givenState{}
			reply(stateReply{})
			return
		}
		if r.given.position != r.position || len(r.given.chunks) == 0 {
			r.given = givenState{r.position, split(entriesOf(r.state()), r.core.limits.ChunkBytes)}
		}
		chunks := r.given.chunks
		if request.Chunk >= uint32(len(chunks)) {
			reply(stateReply{})
			return
		}
		if int(request.Chunk) == len(chunks)-1 {
			r.given = givenState{} // asked for again, it is made again
		}
		reply(stateReply{Chunks: uint32(len(chunks)), Entries: chunks[request.Chunk]})
	})
}
