package transport

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: separator, Want: "/"},
		goldentest.Constant{Have: wildcard, Want: "*"},
		goldentest.Constant{Have: ToHeader, Want: "Puffinlink-To"},
		goldentest.Constant{Have: FromHeader, Want: "Puffinlink-From"},
		goldentest.Constant{Have: ClockHeader, Want: "Puffinlink-Clock"},
		goldentest.Constant{Have: UntilHeader, Want: "Puffinlink-Until"},
		goldentest.Constant{Have: RetryAfterHeader, Want: "Retry-After-Ms"},
		goldentest.Constant{Have: contentType, Want: "application/msgpack"},
		goldentest.Constant{Have: contentTypeHeader, Want: "Content-Type"},
		goldentest.Constant{Have: identityCall.Path(), Want: "/transport/identity"},
	)
}

// TestWireForms pins the bodies of the call that asks for an identity, and the texts of headers.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "identity request", Value: new(identityRequest)},
		goldentest.Form{Name: "identity reply", Value: new(identityReply)},
	)
	identity := Identity{Cluster: "a/b", Node: "c", Incarnation: 71}
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: identity.String(), Want: "a%2Fb/c/1z"},
		goldentest.Constant{Have: FirstContact{"a/b"}.headerText(), Want: "a%2Fb/*/*"},
		goldentest.Constant{Have: Process{identity}.headerText(), Want: "a%2Fb/c/1z"},
	)
}
