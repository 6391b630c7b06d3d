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
	holders = ShardReplicas{{"s0", "s1"}, {"s1", "s2"}, {"s2", "s3"}, {"s3", "s0"}}
)

// observations is what a node observes of four backends, some of them bad.
func observations(bad ...Backend) (list []Observation) {
	for _, s := range []Backend{"s0", "s1", "s2", "s3"} {
		x := Observation{s, 10, 0, 0.01}
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
		s.Receive(100, &reports[i])
	}
	return s
}

func backends(list []Verdict) (names []Backend) {
	for _, j := range list {
		names = append(names, j.Backend)
	}
	return names
}

func TestVerdictsRequireWitnesses(t *testing.T) {
	one := NewReport("b", 1, observations("s1"))
	two := NewReport("c", 1, observations("s1"))
	fine := NewReport("d", 1, observations())
	if list := store(one).Verdicts(100, holders); len(list) > 0 {
		t.Errorf("a verdict of one witness: %+v", list)
	}
	if list := store(NewReport("a", 1, observations("s1")), one).Verdicts(100, holders); len(list) > 0 {
		t.Errorf("what we saw ourselves counts as a witness: %+v", list)
	}
	list := store(one, two, fine).Verdicts(100, holders)
	if len(list) != 1 || list[0].Backend != "s1" || list[0].LatencyFactor < 30 || !slices.Equal(list[0].Witnesses, names[1:3]) {
		t.Errorf("two of three: %+v", list)
	}
	if list := store(one, two, fine, NewReport("e", 1, observations())).Verdicts(100, holders); len(list) != 1 {
		t.Errorf("two of four: %+v", list)
	}
	failing := func(origin membership.Name) Report {
		list := observations()
		list[2].Failed, list[2].Latency = 9, 0.001
		return NewReport(origin, 1, list)
	}
	if list := store(failing("b"), failing("c")).Verdicts(100, holders); len(list) != 1 || list[0].Backend != "s2" || list[0].LatencyFactor < 5 {
		t.Errorf("one that fails fast: %+v", list)
	}
}

// A node that finds most backends bad is unhealthy itself and counts for nothing, and each shard keeps half of its replicas
// whatever is reported; old reports do not count.
func TestVerdictsLeaveEnoughReplicas(t *testing.T) {
	unhealthy := func(origin membership.Name) Report { return NewReport(origin, 1, observations("s1", "s2")) }
	if list := store(unhealthy("b"), unhealthy("c"), unhealthy("d")).Verdicts(100, holders); len(list) > 0 {
		t.Errorf("a verdict of unhealthy witnesses: %+v", list)
	}
	g := random.PCG(5)
	for range 2000 {
		var reports []Report
		for _, origin := range names[1:] {
			var list []Observation
			for i := range 8 {
				list = append(list, Observation{Backend(fmt.Sprint("s", i)), int(20 * g.Unit()), 0, 0.01 * (1 + 30*g.Unit()*g.Unit()*g.Unit())})
				list[i].Failed = int(float64(list[i].Calls) * g.Unit() * g.Unit())
			}
			reports = append(reports, NewReport(origin, 1, list))
		}
		var wide ShardReplicas
		for c := range 8 {
			wide = append(wide, []Backend{Backend(fmt.Sprint("s", c)), Backend(fmt.Sprint("s", (c+1)%8)), Backend(fmt.Sprint("s", (c+2)%8))})
		}
		bad := backends(store(reports...).Verdicts(100, wide))
		for _, held := range wide {
			n := 0
			for _, s := range held {
				if slices.Contains(bad, s) {
					n++
				}
			}
			if float64(n) > maxReplicaShare*float64(len(held)) {
				t.Fatalf("%d of %v judged: %v", n, held, bad)
			}
		}
	}
	s := store(NewReport("b", 1, observations("s1")), NewReport("c", 1, observations("s1")))
	if len(s.Verdicts(100+maxReportAge, holders)) > 0 {
		t.Error("what is old still counts")
	}
	if only := store(NewReport("b", 1, observations("s1")), NewReport("c", 1, observations("s1"))).Verdicts(100, ShardReplicas{{"s1"}}); len(only) > 0 {
		t.Error("the only replica of a shard is an outlier")
	}
}

// Reports may come late, twice, in any order and through other nodes: all that receive them end with the same.
func TestReportsAreReceivedInAnyOrder(t *testing.T) {
	g := random.PCG(9)
	for range 300 {
		var messages []Report
		for _, origin := range names[1:] {
			for v := range 5 {
				messages = append(messages, NewReport(origin, Version(v+1), observations(Backend(fmt.Sprint("s", v%4)))))
			}
		}
		left, right := store(), store()
		for range 200 {
			left.Receive(100, &messages[int(g.Unit()*float64(len(messages)))])
			right.Receive(100, &messages[int(g.Unit()*float64(len(messages)))])
		}
		for i := range messages {
			left.Receive(100, &messages[i])
			right.Receive(100, &messages[len(messages)-1-i])
		}
		if l, r := left.Verdicts(100, holders), right.Verdicts(100, holders); fmt.Sprint(l) != fmt.Sprint(r) {
			t.Fatalf("%v and %v", l, r)
		}
	}
	for _, r := range []Report{{Origin: "nobody", Version: 1}, {Origin: "b", Version: 1, Age: -1}, {Origin: "b", Version: 1, Age: 60},
		{Origin: "b", Version: 1, Observations: []Observation{{"s", 1, 2, 0}}}, {Origin: "b", Version: 1, Observations: make([]Observation, maxObservations+1)}} {
		if store().Receive(100, &r) {
			t.Errorf("%+v is taken", r)
		}
	}
}

// A report reaches all of a hundred nodes through gossip in a few rounds.
func TestReportsReachAllNodes(t *testing.T) {
	var all []membership.Name
	for i := range 100 {
		all = append(all, membership.Name(fmt.Sprint("m", i)))
	}
	stores, where := map[membership.Name]*Store{}, map[membership.Name]int{}
	for i, name := range all {
		stores[name] = NewStore(name, slices.DeleteFunc(slices.Clone(all), func(o membership.Name) bool { return o == name }), uint64(i))
	}
	r := NewReport("m0", 1, observations("s1"))
	stores["m0"].Receive(0, &r)
	where["m0"] = 1
	for round := 1; round <= 20; round++ {
		type message struct {
			to   membership.Name
			list []Report
		}
		var messages []message
		for _, name := range all {
			to, list := stores[name].NextGossip(float64(round)/4, func(membership.Name) bool { return true }, 2)
			for _, o := range to {
				messages = append(messages, message{o, list})
			}
		}
		for _, l := range messages {
			for i := range l.list {
				if stores[l.to].Receive(float64(round)/4, &l.list[i]) {
					where[l.to] = round
				}
			}
		}
	}
	if len(where) < 90 { // the few hear of the next one instead
		t.Errorf("%d of 100 received it", len(where))
	}
	t.Logf("%d of 100 received a report, each sending it on to %d others %d times", len(where), gossipFanout, maxTransmissions)
}
