package override

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"puffinlink.example/puffinlink/logic"
)

// keysRemembered is how many commands are remembered by their keys: far more than are sent while a sender still tries again.
const keysRemembered = 4096

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

// place lives as the table does.
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

// Table is what one mixer knows of overrides. One goroutine alone uses it.
type Table struct {
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

// New makes an empty table.
func New(lim Limits) *Table {
	lim.Cells, lim.Width = max(1, lim.Cells), max(1, lim.Width)
	t := &Table{lim: lim, indexes: map[string]logic.IndexID{}, live: map[Revision]*Override{}, members: map[string]*member{},
		byCell: map[logic.CellID]map[string]*member{}, places: map[string]*place{}, byShard: map[logic.ShardID][]*Override{},
		spots: map[spot]*pinState{}, keys: map[Key]keyed{}, dirtyMembers: map[string]*member{}, dirtySpots: map[spot]bool{},
		rising: map[*member]bool{}, waning: map[spot]bool{}}
	for i, name := range lim.Indexes {
		t.indexes[name] = logic.IndexID(i)
	}
	return t
}

// Revision is that of the last change.
func (t *Table) Revision() Revision { return t.revision }

// Restore takes what was kept before a restart: the revision then, and what held. What has ended meanwhile is left
// out, and told as changes to be kept. It comes before the first list.
func (t *Table) Restore(now float64, revision Revision, held []Override, keys []Change) (ended []Change) {
	t.revision = revision
	for _, c := range keys {
		t.remember(c)
	}
	for _, o := range held {
		t.enter(&o)
	}
	return t.Due(now)
}

func (t *Table) remember(c Change) {
	if c.Key == "" {
		return
	}
	if _, known := t.keys[c.Key]; !known {
		t.keyOrder = append(t.keyOrder, c.Key)
	}
	t.keys[c.Key] = keyed{c.Digest, c}
	if len(t.keyOrder) > keysRemembered {
		delete(t.keys, t.keyOrder[0])
		t.keyOrder = t.keyOrder[1:]
	}
}

// Reserve sets the revision of a decided change aside while it is being kept: whatever ends meanwhile gets a later one,
// and any other command is made for another revision. One that can't be kept leaves a gap.
func (t *Table) Reserve(c Change) { t.revision = max(t.revision, c.Revision) }

// Apply takes a change that was decided by this table and kept since.
func (t *Table) Apply(c Change) {
	t.revision = max(t.revision, c.Revision)
	t.remember(c)
	if c.What == WasSet {
		o := c.Override
		t.enter(&o)
	} else if o := t.live[c.Override.ID]; o != nil {
		t.leave(o)
	}
}

func (t *Table) enter(o *Override) {
	t.live[o.ID] = o
	heap.Push(&t.ends, o)
	switch {
	case o.Kind == Pin:
		m := t.member(o.Searcher)
		m.pins = append(m.pins, o)
		for s := o.From; s <= o.To; s++ {
			t.byShard[s] = append(t.byShard[s], o)
			t.pinned++
		}
	case o.Searcher != "":
		m := t.member(o.Searcher)
		m.own = append(m.own, o)
	default:
		p := t.place(o.Location)
		p.own = append(p.own, o)
	}
	t.touch(o)
}

func (t *Table) leave(o *Override) {
	delete(t.live, o.ID)
	if len(t.ends) > 2*len(t.live)+64 { // those that were cleared are not kept until their end
		t.ends = slices.DeleteFunc(t.ends, func(e *Override) bool { return t.live[e.ID] != e })
		heap.Init(&t.ends)
	}
	is := func(x *Override) bool { return x == o }
	switch {
	case o.Kind == Pin:
		m := t.member(o.Searcher)
		m.pins = slices.DeleteFunc(m.pins, is)
		m.drained = m.drained && len(m.pins) > 0
		for s := o.From; s <= o.To; s++ {
			if t.byShard[s] = slices.DeleteFunc(t.byShard[s], is); len(t.byShard[s]) == 0 {
				delete(t.byShard, s)
			}
			t.pinned--
		}
	case o.Searcher != "":
		m := t.member(o.Searcher)
		m.own = slices.DeleteFunc(m.own, is)
	default:
		p := t.place(o.Location)
		p.own = slices.DeleteFunc(p.own, is)
	}
	t.touch(o)
}

// touch marks what an override concerns, so that a change costs by that.
func (t *Table) touch(o *Override) {
	switch {
	case o.Kind == Pin:
		t.touchPin(o)
	case o.Searcher != "":
		t.touchMember(t.member(o.Searcher))
	default:
		for _, m := range t.place(o.Location).members {
			t.touchMember(m)
		}
	}
}

func (t *Table) touchPin(o *Override) {
	for s := o.From; s <= o.To; s++ {
		for k := range t.lim.Indexes {
			if k := logic.IndexID(k); t.covers(o, k) {
				t.dirtySpots[spot{s, k}] = true
			}
		}
	}
}

// touchMember marks a searcher, and the pins that hang on whether it serves.
func (t *Table) touchMember(m *member) {
	t.dirtyMembers[m.Name] = m
	for _, o := range m.pins {
		t.touchPin(o)
	}
}

// covers tells whether an override concerns an index.
func (t *Table) covers(o *Override, k logic.IndexID) bool {
	return o.Index == "" || t.indexes[o.Index] == k
}

func (t *Table) member(name string) *member {
	m := t.members[name]
	if m == nil {
		m = &member{Member: Member{Name: name, Phase: logic.Gone}, levels: make([]share, len(t.lim.Indexes))}
		for k := range m.levels {
			m.levels[k] = share{level{1, 1}, 1}
		}
		t.members[name] = m
	}
	return m
}

func (t *Table) place(name string) *place {
	p := t.places[name]
	if p == nil {
		p = &place{members: map[string]*member{}}
		t.places[name] = p
	}
	return p
}

// List takes what the list says: all of it, or what changed. It tells which overrides ended by a searcher's restart;
// they have ended already.
func (t *Table) List(now float64, whole bool, entries []Member) (ended []Change) {
	if whole {
		named := make(map[string]bool, len(entries))
		for i := range entries {
			named[entries[i].Name] = true
		}
		for _, m := range t.members {
			if m.listed && !named[m.Name] {
				t.unlist(m)
			}
		}
	}
	for i := range entries {
		ended = append(ended, t.named(now, &entries[i])...)
	}
	return ended
}

// unlist takes a searcher off the list. Its overrides stand and wait for its name.
func (t *Table) unlist(m *member) {
	m.drained = m.Phase == logic.Draining && len(m.pins) > 0
	m.listed, m.Phase = false, logic.Gone
	t.listed--
	t.out(m)
	t.touchMember(m)
}

func (t *Table) out(m *member) {
	delete(t.byCell[m.Cell], m.Name)
	delete(t.place(m.Location).members, m.Name)
}

func (t *Table) named(now float64, e *Member) (ended []Change) {
	m := t.members[e.Name]
	if e.Phase == logic.Gone {
		if m != nil && m.listed {
			t.unlist(m)
		}
		return nil
	}
	m = t.member(e.Name)
	if m.listed && m.Member == *e {
		return nil
	}
	if m.listed {
		t.out(m)
	} else {
		t.listed++
	}
	if m.ID != e.ID { // the module knows nothing of this number
		for k := range m.levels {
			m.levels[k].told = 1
		}
	}
	m.Member, m.listed, m.drained = *e, true, false
	if t.byCell[m.Cell] == nil {
		t.byCell[m.Cell] = map[string]*member{}
	}
	t.byCell[m.Cell][m.Name] = m
	t.place(m.Location).members[m.Name] = m
	for _, o := range slices.Concat(m.own, m.pins) {
		if o.UntilRestart && e.Started > o.Started {
			ended = append(ended, t.end(now, o, HasRestarted, "its searcher has started anew"))
		}
	}
	t.touchMember(m)
	return ended
}

// end ends an override by itself.
func (t *Table) end(now float64, o *Override, what What, why string) Change {
	c := Change{Revision: t.revision + 1, At: now, What: what, Override: *o, Author: o.Author, Reason: why}
	t.Apply(c)
	return c
}

// Due ends what has come to its end, and tells it, to be kept.
func (t *Table) Due(now float64) (ended []Change) {
	for len(t.ends) > 0 && (t.ends[0].End <= now || t.live[t.ends[0].ID] != t.ends[0]) {
		o := heap.Pop(&t.ends).(*Override)
		if t.live[o.ID] == o {
			ended = append(ended, t.end(now, o, HasEnded, "its time is over"))
		}
	}
	return ended
}

// Next tells when Due and Patch have something to do, whatever else happens; +Inf for never.
func (t *Table) Next(now float64) float64 {
	next := math.Inf(1)
	if len(t.ends) > 0 {
		next = t.ends[0].End
	}
	if len(t.rising)+len(t.waning) > 0 {
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
func (t *Table) Live() []Override {
	list := make([]Override, 0, len(t.live))
	for _, o := range t.live {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// forgotten drops a name that nothing concerns any more.
func (t *Table) forgotten(m *member) {
	if m.listed || len(m.own)+len(m.pins) > 0 || t.rising[m] {
		return
	}
	delete(t.members, m.Name)
}

// holders lists the listed searchers that hold a shard.
func (t *Table) holders(s logic.ShardID, each func(*member)) {
	for j := range min(t.lim.Width, t.lim.Cells) {
		for _, m := range t.byCell[logic.CellID((int(s)+j)%t.lim.Cells)] {
			each(m)
		}
	}
}

// holds tells whether a searcher holds a shard.
func (t *Table) holds(m *member, s logic.ShardID) bool {
	behind := (int(m.Cell) - int(s)) % t.lim.Cells
	return m.listed && (behind+t.lim.Cells)%t.lim.Cells < t.lim.Width
}
