package override

import (
	"cmp"
	"container/heap"
	"slices"

	"puffinlink.example/puffinlink/policy"
)

// maxRememberedKeys is the number of idempotency keys that are remembered. It is far more than the number of commands that
// arrive while a sender still retries.
const maxRememberedKeys = 4096

// unassignedBackendID is an ID that no backend has. A shard with a strict pin to it is refused everywhere.
const unassignedBackendID = ^policy.BackendID(0)

// member is the state of a backend name. It exists while the membership list contains the name, while an override refers to
// the name, and while the backend recovers.
type member struct {
	Member
	listed               bool
	removedWhileDraining bool // it left the list while draining, and a pin to it was live
	levels               []memberLevel
	overrides            []*Override // weight and out-of-service overrides of this backend
	pins                 []*Override
}

// recoveryLevel is the share of its usual subqueries that a backend receives for an index, or the share of a shard's
// subqueries that go to the backend of a pin. A backend's level drops to the desired value at once and rises in steps.
type recoveryLevel struct {
	current, desired float64
}

// memberLevel is a backend's level for an index, and the level that was last sent to the decision module.
type memberLevel struct {
	recoveryLevel
	notified float64
}

// location is the state of a location name. It is never deleted.
type location struct {
	overrides []*Override
	members   map[string]*member
}

// pinKey identifies a shard of an index whose pin is live or being released.
type pinKey struct {
	shard policy.ShardID
	index policy.IndexID
}

type pinState struct {
	recoveryLevel
	backend   string   // the backend that the shard is pinned to, or is being released from
	pinID     Revision // the pin with priority; 0 after the last one has ended
	backendID policy.BackendID
	strict    bool
	notified  policy.PinOverride
}

type keyedChange struct {
	digest uint64
	change Change
}

// Table holds the overrides of one aggregator and the membership that they apply to. It is not safe for concurrent use.
type Table struct {
	limits           Limits
	indexes          map[string]policy.IndexID
	revision         Revision
	live             map[Revision]*Override
	expiries         expiryHeap
	pinnedShardCount int // sum over all pins of their numbers of shards
	members          map[string]*member
	membersByCell    map[policy.CellID]map[string]*member
	locations        map[string]*location
	pinsByShard      map[policy.ShardID][]*Override
	pinStates        map[pinKey]*pinState
	changesByKey     map[Key]keyedChange
	keyOrder         []Key
	listedCount      int

	dirtyMembers map[string]*member // to be recomputed by the next Patch
	dirtyPins    map[pinKey]bool    // to be recomputed by the next Patch
	recovering   map[*member]bool   // members with a level below the desired one
	changingPins map[pinKey]bool    // pins whose level differs from the desired one
	advancedAt   float64
}

// New returns an empty table.
func New(limits Limits) *Table {
	limits.Cells, limits.Width = max(1, limits.Cells), max(1, limits.Width)
	t := &Table{limits: limits, indexes: map[string]policy.IndexID{}, live: map[Revision]*Override{}, members: map[string]*member{},
		membersByCell: map[policy.CellID]map[string]*member{}, locations: map[string]*location{}, pinsByShard: map[policy.ShardID][]*Override{},
		pinStates: map[pinKey]*pinState{}, changesByKey: map[Key]keyedChange{}, dirtyMembers: map[string]*member{}, dirtyPins: map[pinKey]bool{},
		recovering: map[*member]bool{}, changingPins: map[pinKey]bool{}}
	for i, name := range limits.Indexes {
		t.indexes[name] = policy.IndexID(i)
	}
	return t
}

// Revision returns the revision of the last change that was applied or reserved.
func (t *Table) Revision() Revision { return t.revision }

// Restore loads the revision, the live overrides and the changes with keys that were stored before a restart. It must be
// called before the first UpdateMembership. It ends the overrides that have expired since, and returns these changes,
// which the caller must store.
func (t *Table) Restore(now float64, revision Revision, live []Override, changes []Change) (ended []Change) {
	t.revision = revision
	for _, c := range changes {
		t.remember(c)
	}
	for _, o := range live {
		t.insert(&o)
	}
	return t.Expire(now)
}

func (t *Table) remember(c Change) {
	if c.Key == "" {
		return
	}
	if _, known := t.changesByKey[c.Key]; !known {
		t.keyOrder = append(t.keyOrder, c.Key)
	}
	t.changesByKey[c.Key] = keyedChange{c.Digest, c}
	if len(t.keyOrder) > maxRememberedKeys {
		delete(t.changesByKey, t.keyOrder[0])
		t.keyOrder = t.keyOrder[1:]
	}
}

// Reserve reserves the revision of a decided change while the change is being stored. An override that ends meanwhile gets
// a later revision, and any other command that expects the previous revision conflicts. If the change cannot be stored,
// its revision remains unused.
func (t *Table) Reserve(c Change) { t.revision = max(t.revision, c.Revision) }

// Apply makes a change effective that this table decided and the caller has stored.
func (t *Table) Apply(c Change) {
	t.revision = max(t.revision, c.Revision)
	t.remember(c)
	if c.Kind == SetByOperator {
		o := c.Override
		t.insert(&o)
	} else if o := t.live[c.Override.ID]; o != nil {
		t.remove(o)
	}
}

func (t *Table) insert(o *Override) {
	t.live[o.ID] = o
	heap.Push(&t.expiries, o)
	switch {
	case o.Kind == Pin:
		m := t.member(o.Backend)
		m.pins = append(m.pins, o)
		for s := o.From; s <= o.To; s++ {
			t.pinsByShard[s] = append(t.pinsByShard[s], o)
			t.pinnedShardCount++
		}
	case o.Backend != "":
		m := t.member(o.Backend)
		m.overrides = append(m.overrides, o)
	default:
		l := t.location(o.Location)
		l.overrides = append(l.overrides, o)
	}
	t.markDirty(o)
}

func (t *Table) remove(removed *Override) {
	delete(t.live, removed.ID)
	if len(t.expiries) > 2*len(t.live)+64 { // cleared overrides must not occupy the heap until they would have expired
		t.expiries = slices.DeleteFunc(t.expiries, func(e *Override) bool { return t.live[e.ID] != e })
		heap.Init(&t.expiries)
	}
	isRemoved := func(x *Override) bool { return x == removed }
	switch {
	case removed.Kind == Pin:
		m := t.member(removed.Backend)
		m.pins = slices.DeleteFunc(m.pins, isRemoved)
		m.removedWhileDraining = m.removedWhileDraining && len(m.pins) > 0
		for s := removed.From; s <= removed.To; s++ {
			if t.pinsByShard[s] = slices.DeleteFunc(t.pinsByShard[s], isRemoved); len(t.pinsByShard[s]) == 0 {
				delete(t.pinsByShard, s)
			}
			t.pinnedShardCount--
		}
	case removed.Backend != "":
		m := t.member(removed.Backend)
		m.overrides = slices.DeleteFunc(m.overrides, isRemoved)
	default:
		l := t.location(removed.Location)
		l.overrides = slices.DeleteFunc(l.overrides, isRemoved)
	}
	t.markDirty(removed)
}

// markDirty marks the members or pins that an override affects. The next Patch recomputes only these, so the cost of a
// change does not depend on the number of overrides.
func (t *Table) markDirty(o *Override) {
	switch {
	case o.Kind == Pin:
		t.markPinDirty(o)
	case o.Backend != "":
		t.markMemberDirty(t.member(o.Backend))
	default:
		for _, m := range t.location(o.Location).members {
			t.markMemberDirty(m)
		}
	}
}

func (t *Table) markPinDirty(o *Override) {
	for s := o.From; s <= o.To; s++ {
		for k := range t.limits.Indexes {
			if k := policy.IndexID(k); t.coversIndex(o, k) {
				t.dirtyPins[pinKey{s, k}] = true
			}
		}
	}
}

// markMemberDirty marks a backend, and the pins to it, whose state depends on whether it serves.
func (t *Table) markMemberDirty(m *member) {
	t.dirtyMembers[m.Name] = m
	for _, o := range m.pins {
		t.markPinDirty(o)
	}
}

// coversIndex reports whether an override applies to an index.
func (t *Table) coversIndex(o *Override, index policy.IndexID) bool {
	return o.Index == "" || t.indexes[o.Index] == index
}

// LiveOverrides returns the live overrides, oldest first.
func (t *Table) LiveOverrides() []Override {
	list := make([]Override, 0, len(t.live))
	for _, o := range t.live {
		list = append(list, *o)
	}
	slices.SortFunc(list, func(x, y Override) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
