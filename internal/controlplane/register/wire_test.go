package register

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "accepted state", Value: new(acceptedState)},
		goldentest.Form{Name: "ballot", Value: new(Ballot)},
		goldentest.Form{Name: "prepare request", Value: new(prepareRequest)},
		goldentest.Form{Name: "accept request", Value: new(acceptRequest)},
		goldentest.Form{Name: "content", Value: new(content)},
		goldentest.Form{Name: "push request", Value: new(pushRequest)},
		goldentest.Form{Name: "fetch request", Value: new(fetchRequest)},
		goldentest.Form{Name: "fetch reply", Value: new(fetchReply)},
		goldentest.Form{Name: "read request", Value: new(readRequest)},
		goldentest.Form{Name: "reply", Value: new(reply)},
		goldentest.Form{Name: "state", Value: new(state)},
	)
}
