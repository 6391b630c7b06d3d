package validate

import (
	"bytes"
	"context"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

// measure holds figures to their aims, on a machine that does nothing else; without it what must hold on any machine is
// checked.
var measure = os.Getenv("PUFFINLINK_MEASURE") != ""

func TestPredictionMatchesMeasurement(t *testing.T) {
	seconds := 1.5
	if measure {
		seconds = 8
	}
	on := MeasureTimers()
	for _, s := range Scenarios(1, 3, seconds) {
		if !slices.Contains([]string{"low load", "drawn 1"}, s.Name) {
			continue
		}
		r, err := Run(context.Background(), s, on, 1)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		Print(&out, []Result{r})
		t.Logf("\n%s", out.String())
		for _, f := range r.Figures {
			if measure && math.Abs(f.Error) > 0.15 {
				t.Errorf("%s: %s is predicted as %.3g and happened as %.3g", s.Name, f.Name, f.Predicted, f.Measured)
			}
			// A busy machine is slower than predicted, never faster, and nothing goes without its answer.
			if f.Name == "p50 ms" && !(f.Measured > 0.7*f.Predicted) || f.Name == "satisfied" && f.Predicted < 0.99 {
				t.Errorf("%s: %s is predicted as %.3g and happened as %.3g", s.Name, f.Name, f.Predicted, f.Measured)
			}
		}
		if !strings.Contains(out.String(), "gain in time") {
			t.Fatal("no gain is shown")
		}
	}
}

// The drawn settings are the seed's, and all that are played fit their fleets.
func TestScenariosFollowTheSeed(t *testing.T) {
	one, two := Scenarios(8, 5, 1), Scenarios(8, 5, 1)
	if len(one) != 24 {
		t.Fatalf("%d settings", len(one))
	}
	for i, s := range one {
		if err := s.Site.CheckLost(); err != nil {
			t.Errorf("%s: %v", s.Name, err)
		}
		if err := s.Workload.Check(&s.Site); err != nil {
			t.Errorf("%s: %v", s.Name, err)
		}
		if s.Workload.QueriesPerSecond != two[i].Workload.QueriesPerSecond || s.Blind != strings.HasPrefix(s.Name, "drawn") {
			t.Errorf("%s is not what its seed says", s.Name)
		}
	}
	if other := Scenarios(8, 6, 1); other[20].Workload.QueriesPerSecond == one[20].Workload.QueriesPerSecond {
		t.Error("another seed draws the same")
	}
}
