package configuration_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
)

const (
	storedValue    = "testdata/stored.hex" // encoded value of the register
	updateVariable = "GOLDEN_UPDATE"       // if set to 1, the golden file is written anew
)

var storedState = configuration.State{
	Version: 300, Body: []byte(`{"version":300}`),
	Applied: []configuration.AppliedUpdate{{Version: 41, IfMatch: 0, Sum: [16]byte{1, 2, 3}}, {Version: 300, IfMatch: 41, Sum: [16]byte{0xff, 15: 0xfe}}},
}

func TestReadsStoredDataOfTheConfiguration(t *testing.T) {
	encoded, err := storedState.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(updateVariable) == "1" {
		if err := os.WriteFile(storedValue, []byte(hex.EncodeToString(encoded)+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(storedValue)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Given the value that an earlier build stored in the register", t, func() {
		value, err := hex.DecodeString(strings.TrimSpace(string(text)))
		So(err, ShouldBeNil)
		state, err := configuration.DecodeState(value)
		So(err, ShouldBeNil)
		So(state, ShouldResemble, storedState)
		So(bytes.Equal(encoded, value), ShouldBeTrue) // the earlier build can decode what this build writes
	})
}
