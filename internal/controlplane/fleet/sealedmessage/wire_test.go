package sealedmessage

import (
	"encoding/hex"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// TestEncodedFormsMatchGoldenFiles checks the bytes of a sealed message, and that Open reads them back.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	limits := Limits{BytesPerSecond: 1 << 20, Burst: 1 << 20}
	sender, err := New("a", 5, [KeyBytes]byte{1, 2, 3}, []membership.Name{"b"}, limits)
	if err != nil {
		t.Fatal(err)
	}
	receiver, err := New("b", 6, [KeyBytes]byte{1, 2, 3}, []membership.Name{"a"}, limits)
	if err != nil {
		t.Fatal(err)
	}
	const want = "01e6c632b61e964e1f575a0b1c44d8843f000000000000000500000000000000010774657874064a8b4314daf2a3f3928071df7a3d6b"
	if have := hex.EncodeToString(sender.Seal("b", 7, []byte("text"))); have != want {
		t.Errorf("sealed as %s, want %s", have, want)
	}
	sealed, _ := hex.DecodeString(want)
	message, verdict := receiver.Open(0, sealed)
	if verdict != Accepted || message.From != "a" || message.Incarnation != 5 || message.Number != 1 || message.Kind != 7 || string(message.Body) != "text" {
		t.Errorf("opened as %+v, %d", message, verdict)
	}
}
