package jobapi

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms checks that the encodings of the types on the wire do not change.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "queue", Value: new(Queue)},
		goldentest.Form{Name: "submit", Value: new(SubmitRequest)},
		goldentest.Form{Name: "status", Value: new(StatusRequest)},
		goldentest.Form{Name: "status reply", Value: new(StatusReply)},
		goldentest.Form{Name: "cancel", Value: new(CancelRequest)},
		goldentest.Form{Name: "cancelled", Value: new(CancelReply)},
		goldentest.Form{Name: "pending", Value: new(PendingRequest)},
		goldentest.Form{Name: "pending reply", Value: new(PendingReply)},
		goldentest.Form{Name: "submitted", Value: new(SubmitReply)},
		goldentest.Form{Name: "handed over", Value: new(HandedOverRequest)},
		goldentest.Form{Name: "handed over reply", Value: new(HandedOverReply)},
		goldentest.Form{Name: "release", Value: new(ReleaseRequest)},
		goldentest.Form{Name: "release reply", Value: new(ReleaseReply)},
	)
}

// TestWireConstants checks that the constants on the wire do not change.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: SubmitCall.Path(), Want: "/jobs/submit"},
		goldentest.Constant{Have: StatusCall.Path(), Want: "/jobs/status"},
		goldentest.Constant{Have: CancelCall.Path(), Want: "/jobs/cancel"},
		goldentest.Constant{Have: PendingCall.Path(), Want: "/jobs/pending"},
		goldentest.Constant{Have: HandedOverCall.Path(), Want: "/jobs/handed-over"},
		goldentest.Constant{Have: ReleaseCall.Path(), Want: "/jobs/release"},
	)
}
