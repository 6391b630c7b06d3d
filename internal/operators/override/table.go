package override

import (
	"cmp"
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

// keysRemembered is how many commands are remembered by their keys: far more than are sent while a sender still tries again.
const keysRemembered = 4096

// noBackend is a number that no backend has: what is pinned to it strictly goes nowhere.
const noBackend = ^policy.BackendID(0)

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
	current, desired float64
}

// share is a backend's level of an index, and the level of which the module was last notified.
type share struct {
	level
	notified float64
}

// location lives as the table does.
type location struct {
	own     []*Override
	members map[string]*member
}

// pinKey is a shard of an index that is pinned, or was a moment ago.
type pinKey struct {
	shard policy.ShardID
	index policy.IndexID
}

type pinState struct {
	level
	to       string   // whose it is, or was while it wanes
	by       Revision // the pin that holds
	id       policy.BackendID
	strict   bool
	notified policy.PinOverride
}

type keyedChange struct {
	digest uint64
	change Change
}

// Table is what one aggregator knows of overrides. One goroutine alone uses it.
type Table struct {
	limits       Limits
	indexes      map[string]policy.IndexID
	revision     Revision
	live         map[Revision]*Override
	ends         ends
	pinned       int // shards of all pins
	members      map[string]*member
	byCell       map[policy.CellID]map[string]*member
	locations    map[string]*location
	byShard      map[policy.ShardID][]*Override
	pinnedShards map[pinKey]*pinState
	keys         map[Key]keyedChange
	keyOrder     []Key
	listed       int

	dirtyMembers map[string]*member
	dirtyPins    map[pinKey]bool
	recovering   map[*member]bool
	changingPins map[pinKey]bool
	advancedAt   float64
}

// New makes an empty table.
func New(lim Limits) *Table {
	lim.Cells, lim.Width = max(1, lim.Cells), max(1, lim.Width)
	t := &Table{limits: lim, indexes: map[string]policy.IndexID{}, live: map[Revision]*Override{}, members: map[string]*member{},
		byCell: map[policy.CellID]map[string]*member{}, locations: map[string]*location{}, byShard: map[policy.ShardID][]*Override{},
		pinnedShards: map[pinKey]*pinState{}, keys: map[Key]keyedChange{}, dirtyMembers: map[string]*member{}, dirtyPins: map[pinKey]bool{},
		recovering: map[*member]bool{}, changingPins: map[pinKey]bool{}}
	for i, name := range lim.Indexes {
		t.indexes[name] = policy.IndexID(i)
	}
	return t
}

// Revision is that of the last change.
func (t *Table) Revision() Revision { return t.revision }

// Restore takes what was stored before a restart: the revision then, and the live overrides. What has ended meanwhile is left
// out, and returned as changes to be stored. It comes before the first list.
func (t *Table) Restore(now float64, revision Revision, live []Override, keys []Change) (ended []Change) {
	t.revision = revision
	for _, c := range keys {
		t.remember(c)
	}
	for _, o := range live {
		t.insert(&o)
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
	t.keys[c.Key] = keyedChange{c.Digest, c}
	if len(t.keyOrder) > keysRemembered {
		delete(t.keys, t.keyOrder[0])
		t.keyOrder = t.keyOrder[1:]
	}
}

// Reserve sets the revision of a decided change aside while it is being stored: whatever ends meanwhile gets a later one,
// and any other command is made for another revision. One that can't be stored leaves a gap.
func (t *Table) Reserve(c Change) { t.revision = max(t.revision, c.Revision) }

// Apply takes a change that was decided by this table and stored since.
func (t *Table) Apply(c Change) {
	t.revision = max(t.revision, c.Revision)
	t.remember(c)
	if c.What == WasSet {
		o := c.Override
		t.insert(&o)
	} else if o := t.live[c.Override.ID]; o != nil {
		t.remove(o)
	}
}

func (t *Table) insert(o *Override) {
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
		p := t.location(o.Location)
		p.own = append(p.own, o)
	}
	t.touch(o)
}

func (t *Table) remove(removed *Override) {
	delete(t.live, removed.ID)
	if len(t.ends) > 2*len(t.live)+64 { // those that were cleared are not kept until their end
		t.ends = slices.DeleteFunc(t.ends, func(e *Override) bool { return t.live[e.ID] != e })
		heap.Init(&t.ends)
	}
	isRemoved := func(x *Override) bool { return x == removed }
	switch {
	case removed.Kind == Pin:
		m := t.member(removed.Backend)
		m.pins = slices.DeleteFunc(m.pins, isRemoved)
		m.drained = m.drained && len(m.pins) > 0
		for s := removed.From; s <= removed.To; s++ {
			if t.byShard[s] = slices.DeleteFunc(t.byShard[s], isRemoved); len(t.byShard[s]) == 0 {
				delete(t.byShard, s)
			}
			t.pinned--
		}
	case removed.Backend != "":
		m := t.member(removed.Backend)
		m.own = slices.DeleteFunc(m.own, isRemoved)
	default:
		p := t.location(removed.Location)
		p.own = slices.DeleteFunc(p.own, isRemoved)
	}
	t.touch(removed)
}

// touch marks what an override concerns, so that a change costs by that.
func (t *Table) touch(o *Override) {
	switch {
	case o.Kind == Pin:
		t.touchPin(o)
	case o.Backend != "":
		t.touchMember(t.member(o.Backend))
	default:
		for _, m := range t.location(o.Location).members {
			t.touchMember(m)
		}
	}
}

func (t *Table) touchPin(o *Override) {
	for s := o.From; s <= o.To; s++ {
		for k := range t.limits.Indexes {
			if k := policy.IndexID(k); t.covers(o, k) {
				t.dirtyPins[pinKey{s, k}] = true
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

// LiveOverrides lists what holds, oldest first.
func (t *Table) LiveOverrides() []Override {
	list := make([]Override, 0, len(t.live))
	for _, o := range t.live {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
