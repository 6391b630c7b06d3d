package override

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"puffinlink.example/puffinlink/logic"
)

// keysKept is how many commands are remembered by their keys: far more than are sent while a sender still tries again.
const keysKept = 4096

// nobody is a number that no searcher has: what is pinned to it strictly goes nowhere.
const nobody = ^logic.SearcherID(0)

// member lives while the list names a searcher, and on while an override or a return concerns its name.
type member struct {
	Member
	listed  bool
	drained bool // it left as one that drained, while a pin to it held
	levels  []share
	own     []*Override // by searcher: weights and outs
	pins    []*Override
}

// level is how much of its usual part calls a searcher may have of an index, or a pinned searcher of a shard: it
// falls at once to what is wanted and rises by steps.
type level struct {
	now, want float64
}

// share is a searcher's level of an index, and what the module was last told of it.
type share struct {
	level
	told float64
}

// place lives as the book does.
type place struct {
	own     []*Override
	members map[string]*member
}

// spot is a shard of an index that is pinned, or was a moment ago.
type spot struct {
	shard logic.ShardID
	index logic.IndexID
}

type pinState struct {
	level
	to     string   // whose it is, or was while it wanes
	by     Revision // the pin that holds
	id     logic.SearcherID
	strict bool
	told   logic.PinOverride
}

type keyed struct {
	digest uint64
	change Change
}

// Book is what one mixer knows of overrides. One goroutine alone uses it.
type Book struct {
	lim      Limits
	indexes  map[string]logic.IndexID
	revision Revision
	live     map[Revision]*Override
	ends     ends
	pinned   int // shards of all pins
	members  map[string]*member
	byCell   map[logic.CellID]map[string]*member
	places   map[string]*place
	byShard  map[logic.ShardID][]*Override
	spots    map[spot]*pinState
	keys     map[Key]keyed
	keyOrder []Key
	listed   int

	dirtyMembers map[string]*member
	dirtySpots   map[spot]bool
	rising       map[*member]bool
	waning       map[spot]bool
	movedAt      float64
}

// New makes an empty book.
func New(lim Limits) *Book {
	lim.Cells, lim.Width = max(1, lim.Cells), max(1, lim.Width)
	b := &Book{lim: lim, indexes: map[string]logic.IndexID{}, live: map[Revision]*Override{}, members: map[string]*member{},
		byCell: map[logic.CellID]map[string]*member{}, places: map[string]*place{}, byShard: map[logic.ShardID][]*Override{},
		spots: map[spot]*pinState{}, keys: map[Key]keyed{}, dirtyMembers: map[string]*member{}, dirtySpots: map[spot]bool{},
		rising: map[*member]bool{}, waning: map[spot]bool{}}
	for i, name := range lim.Indexes {
		b.indexes[name] = logic.IndexID(i)
	}
	return b
}

// Revision is that of the last change.
func (b *Book) Revision() Revision { return b.revision }

// Restore takes what was kept before a restart: the revision then, and what held. What has ended meanwhile is left
// out, and told as changes to be kept. It comes before the first list.
func (b *Book) Restore(now float64, revision Revision, held []Override, keys []Change) (ended []Change) {
	b.revision = revision
	for _, c := range keys {
		b.remember(c)
	}
	for _, o := range held {
		b.enter(&o)
	}
	return b.Due(now)
}

func (b *Book) remember(c Change) {
	if c.Key == "" {
		return
	}
	if _, known := b.keys[c.Key]; !known {
		b.keyOrder = append(b.keyOrder, c.Key)
	}
	b.keys[c.Key] = keyed{c.Digest, c}
	if len(b.keyOrder) > keysKept {
		delete(b.keys, b.keyOrder[0])
		b.keyOrder = b.keyOrder[1:]
	}
}

// Reserve sets the revision of a decided change aside while it is being kept: whatever ends meanwhile gets a later one,
// and any other command is made for another revision. One that can't be kept leaves a gap.
func (b *Book) Reserve(c Change) { b.revision = max(b.revision, c.Revision) }

// Apply takes a change that was decided by this book and kept since.
func (b *Book) Apply(c Change) {
	b.revision = max(b.revision, c.Revision)
	b.remember(c)
	if c.What == WasSet {
		o := c.Override
		b.enter(&o)
	} else if o := b.live[c.Override.ID]; o != nil {
		b.leave(o)
	}
}

func (b *Book) enter(o *Override) {
	b.live[o.ID] = o
	heap.Push(&b.ends, o)
	switch {
	case o.Kind == Pin:
		m := b.member(o.Searcher)
		m.pins = append(m.pins, o)
		for s := o.From; s <= o.To; s++ {
			b.byShard[s] = append(b.byShard[s], o)
			b.pinned++
		}
	case o.Searcher != "":
		m := b.member(o.Searcher)
		m.own = append(m.own, o)
	default:
		p := b.place(o.Location)
		p.own = append(p.own, o)
	}
	b.touch(o)
}

func (b *Book) leave(o *Override) {
	delete(b.live, o.ID)
	if len(b.ends) > 2*len(b.live)+64 { // those that were cleared are not kept until their end
		b.ends = slices.DeleteFunc(b.ends, func(e *Override) bool { return b.live[e.ID] != e })
		heap.Init(&b.ends)
	}
	is := func(x *Override) bool { return x == o }
	switch {
	case o.Kind == Pin:
		m := b.member(o.Searcher)
		m.pins = slices.DeleteFunc(m.pins, is)
		m.drained = m.drained && len(m.pins) > 0
		for s := o.From; s <= o.To; s++ {
			if b.byShard[s] = slices.DeleteFunc(b.byShard[s], is); len(b.byShard[s]) == 0 {
				delete(b.byShard, s)
			}
			b.pinned--
		}
	case o.Searcher != "":
		m := b.member(o.Searcher)
		m.own = slices.DeleteFunc(m.own, is)
	default:
		p := b.place(o.Location)
		p.own = slices.DeleteFunc(p.own, is)
	}
	b.touch(o)
}

// touch marks what an override concerns, so that a change costs by that.
func (b *Book) touch(o *Override) {
	switch {
	case o.Kind == Pin:
		b.touchPin(o)
	case o.Searcher != "":
		b.touchMember(b.member(o.Searcher))
	default:
		for _, m := range b.place(o.Location).members {
			b.touchMember(m)
		}
	}
}

func (b *Book) touchPin(o *Override) {
	for s := o.From; s <= o.To; s++ {
		for k := range b.lim.Indexes {
			if k := logic.IndexID(k); b.covers(o, k) {
				b.dirtySpots[spot{s, k}] = true
			}
		}
	}
}

// touchMember marks a searcher, and the pins that hang on whether it serves.
func (b *Book) touchMember(m *member) {
	b.dirtyMembers[m.Name] = m
	for _, o := range m.pins {
		b.touchPin(o)
	}
}

// covers tells whether an override concerns an index.
func (b *Book) covers(o *Override, k logic.IndexID) bool {
	return o.Index == "" || b.indexes[o.Index] == k
}

func (b *Book) member(name string) *member {
	m := b.members[name]
	if m == nil {
		m = &member{Member: Member{Name: name, Phase: logic.Gone}, levels: make([]share, len(b.lim.Indexes))}
		for k := range m.levels {
			m.levels[k] = share{level{1, 1}, 1}
		}
		b.members[name] = m
	}
	return m
}

func (b *Book) place(name string) *place {
	p := b.places[name]
	if p == nil {
		p = &place{members: map[string]*member{}}
		b.places[name] = p
	}
	return p
}

// List takes what the list says: all of it, or what changed. It tells which overrides ended by a searcher's restart;
// they have ended already.
func (b *Book) List(now float64, whole bool, entries []Member) (ended []Change) {
	if whole {
		named := make(map[string]bool, len(entries))
		for i := range entries {
			named[entries[i].Name] = true
		}
		for _, m := range b.members {
			if m.listed && !named[m.Name] {
				b.unlist(m)
			}
		}
	}
	for i := range entries {
		ended = append(ended, b.named(now, &entries[i])...)
	}
	return ended
}

// unlist takes a searcher off the list. Its overrides stand and wait for its name.
func (b *Book) unlist(m *member) {
	m.drained = m.Phase == logic.Draining && len(m.pins) > 0
	m.listed, m.Phase = false, logic.Gone
	b.listed--
	b.out(m)
	b.touchMember(m)
}

func (b *Book) out(m *member) {
	delete(b.byCell[m.Cell], m.Name)
	delete(b.place(m.Location).members, m.Name)
}

func (b *Book) named(now float64, e *Member) (ended []Change) {
	m := b.members[e.Name]
	if e.Phase == logic.Gone {
		if m != nil && m.listed {
			b.unlist(m)
		}
		return nil
	}
	m = b.member(e.Name)
	if m.listed && m.Member == *e {
		return nil
	}
	if m.listed {
		b.out(m)
	} else {
		b.listed++
	}
	if m.ID != e.ID { // the module knows nothing of this number
		for k := range m.levels {
			m.levels[k].told = 1
		}
	}
	m.Member, m.listed, m.drained = *e, true, false
	if b.byCell[m.Cell] == nil {
		b.byCell[m.Cell] = map[string]*member{}
	}
	b.byCell[m.Cell][m.Name] = m
	b.place(m.Location).members[m.Name] = m
	for _, o := range slices.Concat(m.own, m.pins) {
		if o.UntilRestart && e.Started > o.Started {
			ended = append(ended, b.end(now, o, HasRestarted, "its searcher has started anew"))
		}
	}
	b.touchMember(m)
	return ended
}

// end ends an override by itself.
func (b *Book) end(now float64, o *Override, what What, why string) Change {
	c := Change{Revision: b.revision + 1, At: now, What: what, Override: *o, Author: o.Author, Reason: why}
	b.Apply(c)
	return c
}

// Due ends what has come to its end, and tells it, to be kept.
func (b *Book) Due(now float64) (ended []Change) {
	for len(b.ends) > 0 && (b.ends[0].End <= now || b.live[b.ends[0].ID] != b.ends[0]) {
		o := heap.Pop(&b.ends).(*Override)
		if b.live[o.ID] == o {
			ended = append(ended, b.end(now, o, HasEnded, "its time is over"))
		}
	}
	return ended
}

// Next tells when Due and Patch have something to do, whatever else happens; +Inf for never.
func (b *Book) Next(now float64) float64 {
	next := math.Inf(1)
	if len(b.ends) > 0 {
		next = b.ends[0].End
	}
	if len(b.rising)+len(b.waning) > 0 {
		next = min(next, now+returnStep)
	}
	return next
}

// ends is a heap of overrides by their end.
type ends []*Override

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].End < e[j].End }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(*Override)) }
func (e *ends) Pop() any {
	last := len(*e) - 1
	o := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return o
}

// Live lists what holds, oldest first.
func (b *Book) Live() []Override {
	list := make([]Override, 0, len(b.live))
	for _, o := range b.live {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// forgotten drops a name that nothing concerns any more.
func (b *Book) forgotten(m *member) {
	if m.listed || len(m.own)+len(m.pins) > 0 || b.rising[m] {
		return
	}
	delete(b.members, m.Name)
}

// holders lists the listed searchers that hold a shard.
func (b *Book) holders(s logic.ShardID, each func(*member)) {
	for j := range min(b.lim.Width, b.lim.Cells) {
		for _, m := range b.byCell[logic.CellID((int(s)+j)%b.lim.Cells)] {
			each(m)
		}
	}
}

// holds tells whether a searcher holds a shard.
func (b *Book) holds(m *member, s logic.ShardID) bool {
	behind := (int(m.Cell) - int(s)) % b.lim.Cells
	return m.listed && (behind+b.lim.Cells)%b.lim.Cells < b.lim.Width
}
