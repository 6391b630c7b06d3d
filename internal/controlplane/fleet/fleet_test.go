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

// What contradicts the settings is reported with the line of the file and what was expected.
func TestSettingsAreValidated(t *testing.T) {
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startAlone starts a node whose peers are not running, on addresses that were free a moment ago.
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

// A node that never received tables refuses strict tenants, and all tenants where the file has quotas, as it does not know
// which have one; else it accepts all.
func TestAdmissionOfANodeWithoutTables(t *testing.T) {
	for _, c := range []struct {
		change func(*Settings)
		want   string
	}{{nil, ""}, {func(s *Settings) { s.HasQuotas = true }, refusedQuota}, {func(s *Settings) { s.Strict = []string{"*"} }, refusedUnconfirmed},
		{func(s *Settings) {
			s.FileTables.Contracts = map[residency.Tenant]residency.Contract{"acme": {Zones: []string{"south"}, RestrictsAggregators: true}}
		}, refusedElsewhere}} {
		if v := startAlone(t, c.change).Admit(0, 0); v.Reason != c.want {
			t.Errorf("refused as %q, expected %q", v.Reason, c.want)
		}
	}
}

// Messages that are unreadable, of an unknown kind, or that answer no request, change nothing and end nothing.
func FuzzMessages(f *testing.F) {
	fl := startAlone(f, nil)
	for kind := range byte(12) {
		f.Add(kind, []byte{0xa1, 1, 2})
		f.Add(kind, []byte{})
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		done := make(chan struct{})
		fl.events.Put(event{kind: callRequested, call: func() {
			defer close(done)
			if handle := handlers[sealedmessage.Kind(kind)]; handle != nil {
				handle(fl, "b", body)
			}
		}})
		<-done
		if v := fl.Admit(0, 0); v.Reason != "" {
			t.Errorf("a message made this node refuse: %+v", v)
		}
	})
}

// Admission costs next to nothing, whatever the control state does.
func BenchmarkAdmit(b *testing.B) {
	f := startAlone(b, nil)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			f.Admit(0, 0)
		}
	})
}
