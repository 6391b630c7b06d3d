package policy

// What an instance remembers: its records, by how long they live, and how their states change by the tables.

// state and input are those of the two tables in policy.go; a part and a query have states of their own.
type state uint16

const (
	held state = 1 << iota
	out
	in
	lost
	over
	first // a query with a second step to come
	last
	done
)

type input uint16

const (
	releases input = 1 << iota
	tooLate
	answered
	again
	closed
	whole
	short
	giveUp
	left
)

// indexRow is what differs by index.
type indexRow struct {
	soft, hard, gain, late float64 // deadlines, gain, and its share after the soft one
	need, floor, short     float64
	effect                 Effect
	fault                  float64 // what a fault of a backend adds to its cost
	repeat                 float64
	second                 int
	first, votes           float64 // the time that most tries give, and how many more than others
	work                   float64 // mean hint of a part
}

// rule is a row of a table: in one of these states, on one of these inputs, go to the next state and do this.
type rule[T any] struct {
	state state
	on    input
	next  state
	do    func(*Aggregator, T)
}

func act[T any](m *Aggregator, table []rule[T], it T, at *state, on input) {
	for i := range table {
		if r := &table[i]; r.state&*at != 0 && r.on&on != 0 {
			*at = r.next
			r.do(m, it)
			return
		}
	}
}

func (m *Aggregator) subquery(p *subquery, on input) { act(m, subqueryTable, p, &p.state, on) }

func (m *Aggregator) query(lk *query, on input) {
	lk.short = lk.short || on == short
	act(m, queryTable, lk, &lk.state, on)
}

// call lives as long as one part call.
type call struct {
	subquery *subquery
	no       CallNo
	at       *backend
	sent     float64
	trip     *trip
	back     bool    // taken back already
	idle     float64 // how long nothing had gone to or come from its backend
}

// trip is what travels to one backend in one step; where parts share calls it is what is counted.
type trip struct{ step, subqueries, live int }

// subquery lives until its query is answered, or longer while a call of it is out.
type subquery struct {
	id     SubqueryID
	lk     *query
	shard  ShardID
	weight float64
	size   float64
	state  state
	at     *backend // where it is bound
	avoid  *backend // where its last call came to nothing
	live   []*call
	made   int
	first  float64 // time of the first call
	ran    bool    // some call of it may have run
	owed   bool    // a further call is promised to it
	lot    float64
	pin    *PinOverride // where operators pin it, as of so many changes of pins and lists
	pinTo  *backend     // that one; nil where nobody has its number
	pinsAt int
}

// maybe tells whether some call of p may have run or may yet.
func (p *subquery) maybe() bool { return p.ran || len(p.live) > 0 }

type query struct {
	id         QueryID
	no         QueryNo
	k          IndexID
	state      state
	over       bool // past its customer's share
	short      bool // an answer of it was not whole
	stepped    bool // its first step is answered
	soft       float64
	deadline   float64
	expect     int
	need       float64 // weight that makes this step whole
	subqueries []*subquery
	in, lost   float64 // weights
	broken     int     // calls of it that ended with their backend
	proven     bool    // some part was answered
	pending    int     // parts neither in nor lost
	held       []tally
	size       float64
	zones      *Zones // where its parts may go
}

type tally struct {
	at *backend
	n  int
}

// backend lives as long as the list names it, and on, as its calls do; the next change to the list ends it.
type backend struct {
	id         BackendID
	location   LocationID
	ready      bool
	gone       bool    // the list no longer names it
	started    float64 // last start, as told or suspected; far past if never
	latency    float64 // smoothed; 0 while unheard
	heardAt    float64 // its last change
	answeredAt float64
	alive      float64 // last answer to a call or a probe
	quietFrom  float64 // when it was first asked or called since; 0 if it was not
	askedAt    float64 // last probe
	unheard    bool    // a probe has failed since
	usedAt     float64
	window     float64
	narrowedAt float64
	units      int // own calls out
	heldUnits  int
	queue      float64 // scratch of the order
	out        []*call
	trip       *trip
	fault      []gauge // by index
	pool       []gauge // the same of all at its location
	downUntil  float64
	downWait   float64
	probing    bool
	dead       bool      // a connect has failed since it was last heard
	sent       []sending // while cold
	lot        float64   // with that of a part, decides whether it may go there while cold, or weighed
	scopes     []scope   // by index, what operators override; nil where they do not
	shut       bool      // out of every index
	moved      bool      // the list has named another location under its number
	told       fading    // times the usual latency that others found here, until at
	spared     times     // until when each call that a weight kept away would have been out here
	lent       times     // and where it is out instead
}

// scope is what operators override of a backend for one index.
type scope struct {
	out    bool
	weight float64
}

// pinned is where a shard of an index is pinned to.
type pinned struct {
	shard ShardID
	k     IndexID
}

type sending struct{ at, work float64 }

// customer and what follows live as long as the instance.
type customer struct{ tokens, at float64 }

// Aggregator is one instance.
type Aggregator struct {
	set        Settings
	index      []indexRow
	customers  []customer
	now        float64
	step       int
	chance     pcg
	todo       []Action
	backends   map[BackendID]*backend
	fleet      []*backend   // in the order of first naming, so that nothing hangs on a map's
	holders    [][]*backend // by cell at which a shard begins
	queries    map[QueryNo]*query
	numbers    map[QueryID]QueryNo
	subqueries map[SubqueryID]*subquery
	open       []*query // in order of arrival
	order      []*query
	dirty      bool
	average    float64 // latency of heard backends; 0 while none is
	usual      float64
	meanHint   float64
	longSoft   float64
	shortSoft  float64
	topGain    float64
	pool       map[LocationID][]gauge // share of faults by index
	fallen     gauge                  // share of calls that ended with their backend
	ill        gauge                  // share of calls that fail or crawl
	recent     gauge                  // latency of late, over all backends
	deep       bool                   // probes wait in the backends' queues
	doubt      fading                 // calls lost after a pause, less those answered
	idle       float64                // a connection idle for longer may be dead
	taken      []float64              // times of what the budget counts as taken
	further    []float64              // and as further calls
	owed       int
	pins       map[pinned]*PinOverride
	pinsAt     int  // counts their changes
	asUsual    bool // costs are those without weights
	listWait   float64
	listAt     float64 // when to ask next
}
