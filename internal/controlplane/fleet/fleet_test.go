package fleet

import (
	"net"
	"strings"
	"testing"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
)

func validSettings() Settings {
	return Settings{Self: "a", Location: "north", Lease: 8, MaxDeadline: 2, Directory: "/nowhere",
		Membership: membership.Set{Version: 1, Members: []membership.Member{{Name: "a", Address: "127.0.0.1:1", Location: "north", Votes: true},
			{Name: "b", Address: "127.0.0.1:2", Location: "south", Votes: true}, {Name: "c", Address: "127.0.0.1:3", Location: "north", Votes: true}}},
		Names: residency.KnownNames{Zones: []string{"north", "south"}, Indexes: []string{"reads"}, Tenants: []string{"acme"}},
		Lines: map[string]int{LineFleet: 2, LineStrict: 9, ContractLine("x"): 11, QuotaLine("x"): 17}}
}

// A contradiction between the operator's file and the settings has to be reported with its line in the file and the expected value.
func TestInvalidSettingsAreReportedWithTheirLine(t *testing.T) {
	if s := validSettings(); s.Check() != nil {
		t.Fatal(s.Check())
	}
	for expected, change := range map[string]func(*Settings){
		`line 2: fleet.roster: no mixer is named "z", as this one is`:         func(s *Settings) { s.Self = "z" },
		`line 2: fleet.directory: expected one, as "a" votes`:                 func(s *Settings) { s.Directory = "" },
		`line 2: fleet.roster: location "west" of "b" is none`:                func(s *Settings) { s.Membership.Members[1].Location = "west" },
		"line 2: fleet.lease_s is 8, expected 10 or more":                     func(s *Settings) { s.MaxDeadline = 4 },
		`line 9: contracts.strict: tenant "x" is none that the settings know`: func(s *Settings) { s.Strict = []string{"x"} },
		`line 11: contracts: tenant "x" is none that the settings know, expected one of ["acme"]`: func(s *Settings) {
			s.FileTables.Contracts = map[residency.Tenant]residency.Contract{"x": {Zones: []string{"north"}}}
		},
		`contracts: zone "mars" of tenant "acme" is none`: func(s *Settings) {
			s.FileTables.Contracts = map[residency.Tenant]residency.Contract{"acme": {Zones: []string{"mars"}}}
		},
		`line 17: quotas: tenant "x" is none`: func(s *Settings) { s.FileTables.Quotas = map[quota.Tenant]quota.Quota{"x": {Rate: 1, Burst: 1}} },
	} {
		s := validSettings()
		change(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), expected) {
			t.Errorf("got %v, expected %q", err, expected)
		}
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startAlone starts a node whose peers are not running. All addresses were free when they were chosen.
func startAlone(t testing.TB, change func(*Settings)) *Fleet {
	t.Helper()
	s := validSettings()
	s.Directory = t.TempDir()
	for i := range s.Membership.Members {
		s.Membership.Members[i].Address = freeAddress(t)
	}
	if change != nil {
		change(&s)
	}
	f, err := New(s, eventqueue.New[aggregator.Event](), zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	go f.Run()
	t.Cleanup(f.Stop)
	return f
}

// Before a node has received any tables, it has to refuse strict tenants. If the operator's file has quotas, it has to refuse all
// tenants, as any of them may have a quota. Contracts of the operator's file apply at once. Otherwise it accepts all queries.
func TestNodeWithoutTablesRefusesUnconfirmedQueries(t *testing.T) {
	for _, c := range []struct {
		change func(*Settings)
		want   string
	}{{nil, ""}, {func(s *Settings) { s.HasQuotas = true }, reasonOverQuota}, {func(s *Settings) { s.Strict = []string{"*"} }, reasonContractsUnconfirmed},
		{func(s *Settings) {
			s.FileTables.Contracts = map[residency.Tenant]residency.Contract{"acme": {Zones: []string{"south"}, RestrictsAggregators: true}}
		}, reasonOtherLocation}} {
		if decision := startAlone(t, c.change).Admit(0, 0); decision.Reason != c.want {
			t.Errorf("refusal reason is %q, expected %q", decision.Reason, c.want)
		}
	}
}

// Unreadable messages, messages of an unknown kind, and responses without a request must neither change the admission of queries
// nor stop the node.
func FuzzMessages(f *testing.F) {
	node := startAlone(f, nil)
	for kind := range byte(12) {
		f.Add(kind, []byte{0xa1, 1, 2})
		f.Add(kind, []byte{})
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		done := make(chan struct{})
		node.events.Put(event{kind: callRequested, call: func() {
			defer close(done)
			if handle := handlers[sealedmessage.Kind(kind)]; handle != nil {
				handle(node, "b", body)
			}
		}})
		<-done
		if decision := node.Admit(0, 0); decision.Reason != "" {
			t.Errorf("after the message the node refused a query: %+v", decision)
		}
	})
}

// BenchmarkAdmit measures the admission of queries from parallel goroutines.
func BenchmarkAdmit(b *testing.B) {
	f := startAlone(b, nil)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			f.Admit(0, 0)
		}
	})
}
