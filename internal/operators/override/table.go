package override

import (
	"cmp"
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

// keysRemembered is how many commands are remembered by their keys: far more than are sent while a sender still tries again.
const keysRemembered = 4096

// nobody is a number that no backend has: what is pinned to it strictly goes nowhere.
const nobody = ^policy.BackendID(0)

// member lives while the list names a backend, and on while an override or a return concerns its name.
type member struct {
	Member
	listed  bool
	drained bool // it left as one that drained, while a pin to it held
	levels  []share
	own     []*Override // by backend: weights and outs
	pins    []*Override
}

// level is how much of its usual part calls a backend may have of an index, or a pinned backend of a shard: it
// falls at once to what is wanted and rises by steps.
type level struct {
	now, want float64
}

// share is a backend's level of an index, and what the module was last told of it.
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
	shard policy.ShardID
	index policy.IndexID
}

type pinState struct {
	level
	to     string   // whose it is, or was while it wanes
	by     Revision // the pin that holds
	id     policy.BackendID
	strict bool
	told   policy.PinOverride
}

type keyed struct {
	digest uint64
	change Change
}

// Table is what one aggregator knows of overrides. One goroutine alone uses it.
type Table struct {
	lim      Limits
	indexes  map[string]policy.IndexID
	revision Revision
	live     map[Revision]*Override
	ends     ends
	pinned   int // shards of all pins
	members  map[string]*member
	byCell   map[policy.CellID]map[string]*member
	places   map[string]*place
	byShard  map[policy.ShardID][]*Override
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
	t := &Table{lim: lim, indexes: map[string]policy.IndexID{}, live: map[Revision]*Override{}, members: map[string]*member{},
		byCell: map[policy.CellID]map[string]*member{}, places: map[string]*place{}, byShard: map[policy.ShardID][]*Override{},
		spots: map[spot]*pinState{}, keys: map[Key]keyed{}, dirtyMembers: map[string]*member{}, dirtySpots: map[spot]bool{},
		rising: map[*member]bool{}, waning: map[spot]bool{}}
	for i, name := range lim.Indexes {
		t.indexes[name] = policy.IndexID(i)
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
		m := t.member(o.Backend)
		m.pins = append(m.pins, o)
		for s := o.From; s <= o.To; s++ {
			t.byShard[s] = append(t.byShard[s], o)
			t.pinned++
		}
	case o.Backend != "":
		m := t.member(o.Backend)
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
		m := t.member(o.Backend)
		m.pins = slices.DeleteFunc(m.pins, is)
		m.drained = m.drained && len(m.pins) > 0
		for s := o.From; s <= o.To; s++ {
			if t.byShard[s] = slices.DeleteFunc(t.byShard[s], is); len(t.byShard[s]) == 0 {
				delete(t.byShard, s)
			}
			t.pinned--
		}
	case o.Backend != "":
		m := t.member(o.Backend)
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
	case o.Backend != "":
		t.touchMember(t.member(o.Backend))
	default:
		for _, m := range t.place(o.Location).members {
			t.touchMember(m)
		}
	}
}

func (t *Table) touchPin(o *Override) {
	for s := o.From; s <= o.To; s++ {
		for k := range t.lim.Indexes {
			if k := policy.IndexID(k); t.covers(o, k) {
				t.dirtySpots[spot{s, k}] = true
			}
		}
	}
}

// touchMember marks a backend, and the pins that hang on whether it serves.
func (t *Table) touchMember(m *member) {
	t.dirtyMembers[m.Name] = m
	for _, o := range m.pins {
		t.touchPin(o)
	}
}

// covers tells whether an override concerns an index.
func (t *Table) covers(o *Override, k policy.IndexID) bool {
	return o.Index == "" || t.indexes[o.Index] == k
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
