package settings

import (
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/policy"
)

func TestReadReturnsPolicyAndNetworkSettingsAndRejectsInvalidOnes(t *testing.T) {
	s, err := Read(7, []byte(`{"granularityS":0.005,"ordinal":1,"siblings":3,"zone":1,"azs":["a","b"],"models":["m"],
		"membershipMode":"subscribe","stats":{"how":"probe"},"tenants":[{"name":"t","portion":0.5,"quotaPerS":2}],
		"requestClasses":[{"name":"reads","effect":"by_key","promiseS":1,"giveUpS":4,"worth":2,"lateWorth":0.1,"repeatWindowS":5}],
		"specifics":{"places":3,"width":2,"slices":6,"perCall":2,"classNeed":[0.9]},"unknown":{},
		"limits":{"mostTries":2,"mostHeld":9,"multiplex":32,"idleCloseS":15,"connectTimeoutS":0.25}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := Net{Indexes: []string{"reads"}, Customers: []string{"t"}, Locations: []string{"a", "b"}, MachineKinds: []string{"m"},
		Shards: 6, CallsPerConnection: 32, IdleTimeoutS: 15, ConnectTimeoutS: 0.25, LoadReports: true}
	if !reflect.DeepEqual(s.Net, want) {
		t.Fatalf("got %+v", s.Net)
	}
	if index := s.Indexes[0]; s.Seed != 7 || !s.ListOnRequest || s.Layout.SubqueriesPerCall != 2 || s.Limits.MaxPending != 9 ||
		index.Effect != policy.Deduplicated || index.Required != 0.9 || index.DedupS != 5 || s.Customers[0].QuotaPerSecond != 2 {
		t.Fatalf("got %+v", s.Settings)
	}
	for _, invalidText := range []string{`{"limits":{"multiplex":-1}}`, `{"limits":{"idleCloseS":-1}}`, `{"specifics":{"slices":-1}}`,
		`{"requestClasses":[{"effect":"once"}],"specifics":{"secondStep":[-1]}}`, `{"siblings":-1}`,
		`{"requestClasses":[{"effect":"by_key","repeatWindowS":-1}]}`, `{"requestClasses":[{"effect":"twice"}]}`, `{"requestClasses":[{"effect":"once","worth":-1}]}`,
		`{"requestClasses":[{"effect":"once"}],"specifics":{"classNeed":[0.5],"floorByClass":[0.6]}}`, `[]`, ``} {
		if _, err := Read(7, []byte(invalidText)); err == nil {
			t.Errorf("%s was accepted, expected an error", invalidText)
		}
	}
}
