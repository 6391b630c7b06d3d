package sealedmessage

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

var testKey = [KeyBytes]byte{1, 2, 3}

func newSealers(t testing.TB, limits Limits) (sender, receiver *Sealer) {
	t.Helper()
	sender, err := New("a", 10, testKey, []membership.Name{"b", "c"}, limits)
	if err != nil {
		t.Fatal(err)
	}
	if receiver, err = New("b", 20, testKey, []membership.Name{"a", "c"}, limits); err != nil {
		t.Fatal(err)
	}
	return sender, receiver
}

var unlimited = Limits{BytesPerSecond: 1e9, Burst: 1e9}

func TestMessageIsOpenedOnceByItsRecipient(t *testing.T) {
	sender, receiver := newSealers(t, unlimited)
	sealed := sender.Seal("b", 3, []byte("body"))
	message, verdict := receiver.Open(1, sealed)
	if verdict != Accepted || message.From != "a" || message.Kind != 3 || string(message.Body) != "body" || message.Incarnation != 10 || message.Number != 1 {
		t.Fatalf("%v %+v", verdict, message)
	}
	if _, verdict := receiver.Open(1, sealed); verdict != Replayed {
		t.Errorf("a replayed message: %v", verdict)
	}
	if _, verdict := sender.Open(1, sealed); verdict != UnknownSender { // a message of this node that is sent back to it
		t.Errorf("a message of the node itself: %v", verdict)
	}
	third, _ := New("c", 1, testKey, []membership.Name{"a", "b"}, unlimited)
	if _, verdict := third.Open(1, sealed); verdict != WrongRecipient {
		t.Errorf("a message to another node: %v", verdict)
	}
	for i := range sealed {
		altered := bytes.Clone(sealed)
		altered[i] ^= 1
		if _, verdict := receiver.Open(1, altered); verdict == Accepted {
			t.Errorf("a message with byte %d altered is accepted", i)
		}
	}
	otherKey, _ := New("a", 11, [KeyBytes]byte{9}, []membership.Name{"b"}, unlimited)
	if _, verdict := receiver.Open(1, otherKey.Seal("b", 1, nil)); verdict != BadMAC {
		t.Errorf("a message sealed with another key: %v", verdict)
	}
	if sender.Seal("nobody", 1, nil) != nil || sender.Seal("b", 1, make([]byte, MaxBytes)) != nil {
		t.Error("a message to an unknown member, or with a body that is too long, is sealed")
	}
	if _, verdict := receiver.Open(1, make([]byte, MaxBytes+1)); verdict != TooLong {
		t.Errorf("a message that is too long: %v", verdict)
	}
}

// After a message of a newer process is accepted, messages of the older process of the same node are rejected. The numbers of the
// newer process start at 1 again. A process whose clock went back raises its incarnation, and is then accepted.
func TestMessageOfOlderIncarnationIsRejected(t *testing.T) {
	sender, receiver := newSealers(t, unlimited)
	oldMessage := sender.Seal("b", 1, nil)
	restarted, _ := New("a", 11, testKey, []membership.Name{"b"}, unlimited)
	if _, verdict := receiver.Open(1, restarted.Seal("b", 1, nil)); verdict != Accepted {
		t.Fatal(verdict)
	}
	if message, verdict := receiver.Open(1, oldMessage); verdict != OldIncarnation || message.From != "a" {
		t.Errorf("a message of the older process: %v", verdict)
	}
	sender.RaiseIncarnation(receiver.KnownIncarnation("a"))
	if _, verdict := receiver.Open(1, sender.Seal("b", 1, nil)); verdict != Accepted || sender.Incarnation() != 12 {
		t.Errorf("after the incarnation was raised: %v, incarnation %d", verdict, sender.Incarnation())
	}
}

// Messages of a node that exceeds its limit are rejected until the limit allows more. Those of other nodes are accepted.
func TestBytesPerSecondOfASenderAreLimited(t *testing.T) {
	sender, receiver := newSealers(t, Limits{BytesPerSecond: 1000, Burst: 1000})
	third, _ := New("c", 1, testKey, []membership.Name{"b"}, unlimited)
	opened := 0
	for range 100 {
		if _, verdict := receiver.Open(5, sender.Seal("b", 1, make([]byte, 50))); verdict == Accepted {
			opened++
		}
	}
	if opened < 8 || opened > 11 {
		t.Errorf("%d messages of 100 bytes accepted at once, expected 8 to 11", opened)
	}
	if _, verdict := receiver.Open(5, third.Seal("b", 1, nil)); verdict != Accepted {
		t.Errorf("a message of another node: %v", verdict)
	}
	if _, verdict := receiver.Open(6, sender.Seal("b", 1, nil)); verdict != Accepted {
		t.Errorf("a message one second later: %v", verdict)
	}
}

// The window accepts each number once, in whatever order the numbers arrive, unless the number is too far below the highest.
func TestReplayWindowAcceptsEachNumberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window, seen, highest := replayWindow{}, map[Number]bool{}, Number(0)
		for range rapid.IntRange(1, 400).Draw(t, "messages") {
			number := Number(rapid.Uint64Range(1, 3000).Draw(t, "number"))
			if near := rapid.Bool().Draw(t, "near"); near {
				number = max(1, highest+Number(rapid.Uint64Range(0, 80).Draw(t, "ahead"))-min(highest, 40))
			}
			isNew, inWindow := !seen[number], highest < windowWords*64 || number > highest-windowWords*64
			if accepted := window.accept(number); accepted != (isNew && inWindow) {
				t.Fatalf("number %d, highest %d: accepted is %t, expected %t", number, highest, accepted, isNew && inWindow)
			}
			if inWindow {
				seen[number] = true
			}
			highest = max(highest, number)
		}
	})
}

func FuzzOpen(f *testing.F) {
	sender, _ := newSealers(f, unlimited)
	f.Add(sender.Seal("b", 1, []byte("x")))
	f.Fuzz(func(t *testing.T, in []byte) {
		sender, receiver := newSealers(t, unlimited)
		genuine := sender.Seal("b", 1, []byte("x"))
		if _, verdict := receiver.Open(1, in); verdict == Accepted && !bytes.Equal(in, genuine) {
			t.Errorf("a forged message is accepted: %x", in)
		}
	})
}
