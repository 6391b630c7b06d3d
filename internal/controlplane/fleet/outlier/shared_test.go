package outlier

import (
	"fmt"
	"slices"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

var (
	names   = []membership.Name{"a", "b", "c", "d", "e"}
	holders = Holders{{"s0", "s1"}, {"s1", "s2"}, {"s2", "s3"}, {"s3", "s0"}}
)

// seen is what a node sees of four backends, some of which are bad to it.
func seen(bad ...Backend) (list []Seen) {
	for _, s := range []Backend{"s0", "s1", "s2", "s3"} {
		x := Seen{s, 10, 0, 0.01}
		if slices.Contains(bad, s) {
			x.Latency = 0.5
		}
		list = append(list, x)
	}
	return list
}

func store(reports ...Report) *Store {
	s := NewStore("a", names[1:], 1)
	for i := range reports {
		s.Hear(100, &reports[i])
	}
	return s
}

func judged(list []Judgement) (names []Backend) {
	for _, j := range list {
		names = append(names, j.Backend)
	}
	return names
}

func TestJudgementsNeedWitnesses(t *testing.T) {
	one := Make("b", 1, seen("s1"))
	two := Make("c", 1, seen("s1"))
	fine := Make("d", 1, seen())
	if list := store(one).Judge(100, holders); len(list) > 0 {
		t.Errorf("judged by one: %+v", list)
	}
	if list := store(Make("a", 1, seen("s1")), one).Judge(100, holders); len(list) > 0 {
		t.Errorf("what we saw ourselves counts as a witness: %+v", list)
	}
	list := store(one, two, fine).Judge(100, holders)
	if len(list) != 1 || list[0].Backend != "s1" || list[0].Times < 30 || !slices.Equal(list[0].Witnesses, names[1:3]) {
		t.Errorf("two of three: %+v", list)
	}
	if list := store(one, two, fine, Make("e", 1, seen())).Judge(100, holders); len(list) != 1 {
		t.Errorf("two of four: %+v", list)
	}
	failing := func(origin membership.Name) Report {
		list := seen()
		list[2].Failed, list[2].Latency = 9, 0.001
		return Make(origin, 1, list)
	}
	if list := store(failing("b"), failing("c")).Judge(100, holders); len(list) != 1 || list[0].Backend != "s2" || list[0].Times < 5 {
		t.Errorf("one that fails fast: %+v", list)
	}
}

// A node that calls most backends bad is sick itself and counts for nothing, and with many sick ones each shard keeps
// half of its holders; what is old counts no more.
func TestJudgementsAreBounded(t *testing.T) {
	sick := func(origin membership.Name) Report { return Make(origin, 1, seen("s1", "s2")) }
	if list := store(sick("b"), sick("c"), sick("d")).Judge(100, holders); len(list) > 0 {
		t.Errorf("judged by sick ones: %+v", list)
	}
	g := random.PCG(5)
	for range 2000 {
		var reports []Report
		for _, origin := range names[1:] {
			var list []Seen
			for i := range 8 {
				list = append(list, Seen{Backend(fmt.Sprint("s", i)), int(20 * g.Unit()), 0, 0.01 * (1 + 30*g.Unit()*g.Unit()*g.Unit())})
				list[i].Failed = int(float64(list[i].Calls) * g.Unit() * g.Unit())
			}
			reports = append(reports, Make(origin, 1, list))
		}
		var wide Holders
		for c := range 8 {
			wide = append(wide, []Backend{Backend(fmt.Sprint("s", c)), Backend(fmt.Sprint("s", (c+1)%8)), Backend(fmt.Sprint("s", (c+2)%8))})
		}
		bad := judged(store(reports...).Judge(100, wide))
		for _, held := range wide {
			n := 0
			for _, s := range held {
				if slices.Contains(bad, s) {
					n++
				}
			}
			if float64(n) > holdersOut*float64(len(held)) {
				t.Fatalf("%d of %v judged: %v", n, held, bad)
			}
		}
	}
	s := store(Make("b", 1, seen("s1")), Make("c", 1, seen("s1")))
	if len(s.Judge(100+ageMost, holders)) > 0 {
		t.Error("what is old still counts")
	}
	if only := store(Make("b", 1, seen("s1")), Make("c", 1, seen("s1"))).Judge(100, Holders{{"s1"}}); len(only) > 0 {
		t.Error("the only holder of a shard is judged")
	}
}

// Reports may come late, twice, in any order and over others: all who hear of them end with the same.
func TestReportsComeInAnyOrder(t *testing.T) {
	g := random.PCG(9)
	for range 300 {
		var messages []Report
		for _, origin := range names[1:] {
			for v := range 5 {
				messages = append(messages, Make(origin, Version(v+1), seen(Backend(fmt.Sprint("s", v%4)))))
			}
		}
		left, right := store(), store()
		for range 200 {
			left.Hear(100, &messages[int(g.Unit()*float64(len(messages)))])
			right.Hear(100, &messages[int(g.Unit()*float64(len(messages)))])
		}
		for i := range messages {
			left.Hear(100, &messages[i])
			right.Hear(100, &messages[len(messages)-1-i])
		}
		if l, r := left.Judge(100, holders), right.Judge(100, holders); fmt.Sprint(l) != fmt.Sprint(r) {
			t.Fatalf("%v and %v", l, r)
		}
	}
	for _, r := range []Report{{Origin: "nobody", Version: 1}, {Origin: "b", Version: 1, Age: -1}, {Origin: "b", Version: 1, Age: 60},
		{Origin: "b", Version: 1, Seen: []Seen{{"s", 1, 2, 0}}}, {Origin: "b", Version: 1, Seen: make([]Seen, mostEach+1)}} {
		if store().Hear(100, &r) {
			t.Errorf("%+v is taken", r)
		}
	}
}

// A report reaches all of a hundred nodes, over others, in a few rounds.
func TestReportsSpread(t *testing.T) {
	var all []membership.Name
	for i := range 100 {
		all = append(all, membership.Name(fmt.Sprint("m", i)))
	}
	stores, where := map[membership.Name]*Store{}, map[membership.Name]int{}
	for i, name := range all {
		stores[name] = NewStore(name, slices.DeleteFunc(slices.Clone(all), func(o membership.Name) bool { return o == name }), uint64(i))
	}
	r := Make("m0", 1, seen("s1"))
	stores["m0"].Hear(0, &r)
	where["m0"] = 1
	for round := 1; round <= 20; round++ {
		type message struct {
			to   membership.Name
			list []Report
		}
		var messages []message
		for _, name := range all {
			to, list := stores[name].Pass(float64(round)/4, func(membership.Name) bool { return true }, 2)
			for _, o := range to {
				messages = append(messages, message{o, list})
			}
		}
		for _, l := range messages {
			for i := range l.list {
				if stores[l.to].Hear(float64(round)/4, &l.list[i]) {
					where[l.to] = round
				}
			}
		}
	}
	if len(where) < 90 { // the few hear of the next one instead
		t.Errorf("%d of 100 heard of it", len(where))
	}
	t.Logf("%d of 100 heard of a report, each passing it on to %d others %d times", len(where), fan, retell)
}
