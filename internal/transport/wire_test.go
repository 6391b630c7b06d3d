package transport

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireConstantsAreUnchanged checks the constants of the protocol.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: headerSeparator, Want: "/"},
		goldentest.Constant{Have: headerWildcard, Want: "*"},
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

// TestEncodedFormsMatchGoldenFiles checks the encoding of the identity call and the format of header values.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "identity request", Value: new(identityRequest)},
		goldentest.Form{Name: "identity reply", Value: new(identityReply)},
	)
	identity := Identity{Cluster: "a/b", Node: "c", Incarnation: 71}
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: identity.String(), Want: "a%2Fb/c/1z"},
		goldentest.Constant{Have: AnyProcess{"a/b"}.headerText(), Want: "a%2Fb/*/*"},
		goldentest.Constant{Have: Process{identity}.headerText(), Want: "a%2Fb/c/1z"},
	)
}
