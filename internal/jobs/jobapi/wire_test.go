package jobapi

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "queue", Value: new(Queue)},
		goldentest.Form{Name: "submit", Value: new(Submit)},
		goldentest.Form{Name: "status", Value: new(Status)},
		goldentest.Form{Name: "status reply", Value: new(StatusReply)},
		goldentest.Form{Name: "cancel", Value: new(Cancel)},
		goldentest.Form{Name: "cancelled", Value: new(Cancelled)},
		goldentest.Form{Name: "pending", Value: new(Pending)},
		goldentest.Form{Name: "pending reply", Value: new(PendingReply)},
	)
}
