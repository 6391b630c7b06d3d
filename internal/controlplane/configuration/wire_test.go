package configuration

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles guards the encoding of types that are exchanged with other builds or stored.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "learn", Value: new(Announcement)},
		goldentest.Form{Name: "learn reply", Value: new(AnnouncementReply)},
		goldentest.Form{Name: "taken", Value: new(AppliedUpdate)},
		goldentest.Form{Name: "state", Value: new(State)},
	)
	goldentest.Check(t, goldentest.JSONExperiment,
		goldentest.Form{Name: "configuration", Value: new(Configuration)},
		goldentest.Form{Name: "route", Value: new(Route)},
		goldentest.Form{Name: "service", Value: new(Service)},
		goldentest.Form{Name: "limits", Value: new(Limits)},
	)
}

// TestWireConstantsAreUnchanged guards the constants that are exchanged with other builds.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: AnnounceCall.Path(), Want: "/configuration/learn"},
	)
}
