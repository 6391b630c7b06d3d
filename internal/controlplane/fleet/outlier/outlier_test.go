package outlier

import (
	"fmt"
	"slices"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

var (
	nodeNames   = []membership.Name{"a", "b", "c", "d", "e"}
	replicaSets = ShardReplicas{{"s0", "s1"}, {"s1", "s2"}, {"s2", "s3"}, {"s3", "s0"}}
)

// testObservations returns the observations of one node of four backends, of which those listed are slow.
func testObservations(bad ...Backend) (list []Observation) {
	for _, backend := range []Backend{"s0", "s1", "s2", "s3"} {
		observation := Observation{backend, 10, 0, 0.01}
		if slices.Contains(bad, backend) {
			observation.Latency = 0.5
		}
		list = append(list, observation)
	}
	return list
}

func newTestStore(reports ...Report) *Store {
	s := NewStore("a", nodeNames[1:], 1)
	for i := range reports {
		s.Receive(100, &reports[i])
	}
	return s
}

func verdictBackends(list []Verdict) (names []Backend) {
	for _, verdict := range list {
		names = append(names, verdict.Backend)
	}
	return names
}

func TestVerdictRequiresSeveralWitnesses(t *testing.T) {
	firstBad := NewReport("b", 1, testObservations("s1"))
	secondBad := NewReport("c", 1, testObservations("s1"))
	good := NewReport("d", 1, testObservations())
	if list := newTestStore(firstBad).Verdicts(100, replicaSets); len(list) > 0 {
		t.Errorf("a verdict with only one witness: %+v", list)
	}
	if list := newTestStore(NewReport("a", 1, testObservations("s1")), firstBad).Verdicts(100, replicaSets); len(list) > 0 {
		t.Errorf("the report of this node counts as a witness: %+v", list)
	}
	list := newTestStore(firstBad, secondBad, good).Verdicts(100, replicaSets)
	if len(list) != 1 || list[0].Backend != "s1" || list[0].LatencyFactor < 30 || !slices.Equal(list[0].Witnesses, nodeNames[1:3]) {
		t.Errorf("two witnesses of three reports: %+v", list)
	}
	if list := newTestStore(firstBad, secondBad, good, NewReport("e", 1, testObservations())).Verdicts(100, replicaSets); len(list) != 1 {
		t.Errorf("two witnesses of four reports: %+v", list)
	}
	failing := func(origin membership.Name) Report {
		list := testObservations()
		list[2].Failed, list[2].Latency = 9, 0.001
		return NewReport(origin, 1, list)
	}
	if list := newTestStore(failing("b"), failing("c")).Verdicts(100, replicaSets); len(list) != 1 || list[0].Backend != "s2" || list[0].LatencyFactor < 5 {
		t.Errorf("a backend that fails fast: %+v", list)
	}
}

// Each shard keeps at least half of its replicas, whatever the nodes report. Reports of a node that finds most backends bad, and
// old reports, are ignored.
func TestVerdictsLeaveEnoughReplicas(t *testing.T) {
	unhealthy := func(origin membership.Name) Report { return NewReport(origin, 1, testObservations("s1", "s2")) }
	if list := newTestStore(unhealthy("b"), unhealthy("c"), unhealthy("d")).Verdicts(100, replicaSets); len(list) > 0 {
		t.Errorf("a verdict of unhealthy witnesses: %+v", list)
	}
	rng := random.PCG(5)
	for range 2000 {
		var reports []Report
		for _, origin := range nodeNames[1:] {
			var list []Observation
			for i := range 8 {
				list = append(list, Observation{Backend(fmt.Sprint("s", i)), int(20 * rng.Unit()), 0, 0.01 * (1 + 30*rng.Unit()*rng.Unit()*rng.Unit())})
				list[i].Failed = int(float64(list[i].Calls) * rng.Unit() * rng.Unit())
			}
			reports = append(reports, NewReport(origin, 1, list))
		}
		var replicas ShardReplicas
		for shard := range 8 {
			replicas = append(replicas, []Backend{Backend(fmt.Sprint("s", shard)), Backend(fmt.Sprint("s", (shard+1)%8)), Backend(fmt.Sprint("s", (shard+2)%8))})
		}
		bad := verdictBackends(newTestStore(reports...).Verdicts(100, replicas))
		for _, shard := range replicas {
			excluded := 0
			for _, s := range shard {
				if slices.Contains(bad, s) {
					excluded++
				}
			}
			if float64(excluded) > maxReplicaShare*float64(len(shard)) {
				t.Fatalf("%d of the replicas %v are outliers: %v", excluded, shard, bad)
			}
		}
	}
	s := newTestStore(NewReport("b", 1, testObservations("s1")), NewReport("c", 1, testObservations("s1")))
	if len(s.Verdicts(100+maxReportAge, replicaSets)) > 0 {
		t.Error("an old report still counts")
	}
	if verdicts := newTestStore(NewReport("b", 1, testObservations("s1")), NewReport("c", 1, testObservations("s1"))).Verdicts(100, ShardReplicas{{"s1"}}); len(verdicts) > 0 {
		t.Error("the only replica of a shard is an outlier")
	}
}

// Reports may arrive late, more than once, in any order and through other nodes. All nodes that receive them reach the same
// verdicts. Invalid reports are rejected.
func TestReportOrderDoesNotChangeVerdicts(t *testing.T) {
	rng := random.PCG(9)
	for range 300 {
		var messages []Report
		for _, origin := range nodeNames[1:] {
			for version := range 5 {
				messages = append(messages, NewReport(origin, Version(version+1), testObservations(Backend(fmt.Sprint("s", version%4)))))
			}
		}
		left, right := newTestStore(), newTestStore()
		for range 200 {
			left.Receive(100, &messages[int(rng.Unit()*float64(len(messages)))])
			right.Receive(100, &messages[int(rng.Unit()*float64(len(messages)))])
		}
		for i := range messages {
			left.Receive(100, &messages[i])
			right.Receive(100, &messages[len(messages)-1-i])
		}
		if l, r := left.Verdicts(100, replicaSets), right.Verdicts(100, replicaSets); fmt.Sprint(l) != fmt.Sprint(r) {
			t.Fatalf("verdicts differ by the order of the reports: %v and %v", l, r)
		}
	}
	for _, r := range []Report{{Origin: "nobody", Version: 1}, {Origin: "b", Version: 1, Age: -1}, {Origin: "b", Version: 1, Age: 60},
		{Origin: "b", Version: 1, Observations: []Observation{{"s", 1, 2, 0}}}, {Origin: "b", Version: 1, Observations: make([]Observation, maxObservations+1)}} {
		if newTestStore().Receive(100, &r) {
			t.Errorf("%+v is accepted", r)
		}
	}
}

// Gossip delivers a report to at least 90 of 100 nodes within 20 rounds.
func TestGossipDeliversReportsToMostNodes(t *testing.T) {
	var nodes []membership.Name
	for i := range 100 {
		nodes = append(nodes, membership.Name(fmt.Sprint("m", i)))
	}
	stores, receivedInRound := map[membership.Name]*Store{}, map[membership.Name]int{}
	for i, name := range nodes {
		stores[name] = NewStore(name, slices.DeleteFunc(slices.Clone(nodes), func(o membership.Name) bool { return o == name }), uint64(i))
	}
	r := NewReport("m0", 1, testObservations("s1"))
	stores["m0"].Receive(0, &r)
	receivedInRound["m0"] = 1
	for round := 1; round <= 20; round++ {
		type message struct {
			to   membership.Name
			list []Report
		}
		var messages []message
		for _, name := range nodes {
			to, list := stores[name].NextGossip(float64(round)/4, func(membership.Name) bool { return true }, 2)
			for _, o := range to {
				messages = append(messages, message{o, list})
			}
		}
		for _, l := range messages {
			for i := range l.list {
				if stores[l.to].Receive(float64(round)/4, &l.list[i]) {
					receivedInRound[l.to] = round
				}
			}
		}
	}
	if len(receivedInRound) < 90 { // the remaining nodes receive the next report instead
		t.Errorf("%d of 100 received it", len(receivedInRound))
	}
	t.Logf("%d of 100 received a report, each sending it on to %d others %d times", len(receivedInRound), gossipFanout, maxSendsPerReport)
}
