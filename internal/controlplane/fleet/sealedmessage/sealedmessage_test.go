package sealedmessage

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

var key = [KeyBytes]byte{1, 2, 3}

func sealers(t testing.TB, lim Limits) (a, s *Sealer) {
	t.Helper()
	a, err := New("a", 10, key, []membership.Name{"b", "c"}, lim)
	if err != nil {
		t.Fatal(err)
	}
	if s, err = New("b", 20, key, []membership.Name{"a", "c"}, lim); err != nil {
		t.Fatal(err)
	}
	return a, s
}

var wide = Limits{BytesPerS: 1e9, Burst: 1e9}

func TestMessagesAreOpenedOnce(t *testing.T) {
	a, s := sealers(t, wide)
	sealed := a.Seal("b", 3, []byte("body"))
	l, why := s.Open(1, sealed)
	if why != Accepted || l.From != "a" || l.Kind != 3 || string(l.Body) != "body" || l.Incarnation != 10 || l.Number != 1 {
		t.Fatalf("%v %+v", why, l)
	}
	if _, why := s.Open(1, sealed); why != Replayed {
		t.Errorf("a replayed message: %v", why)
	}
	if _, why := a.Open(1, sealed); why != UnknownSender { // our own, turned back
		t.Errorf("our own message: %v", why)
	}
	c, _ := New("c", 1, key, []membership.Name{"a", "b"}, wide)
	if _, why := c.Open(1, sealed); why != WrongRecipient {
		t.Errorf("a message to another node: %v", why)
	}
	for i := range sealed {
		altered := bytes.Clone(sealed)
		altered[i] ^= 1
		if _, why := s.Open(1, altered); why == Accepted {
			t.Errorf("byte %d altered, and opened", i)
		}
	}
	other, _ := New("a", 11, [KeyBytes]byte{9}, []membership.Name{"b"}, wide)
	if _, why := s.Open(1, other.Seal("b", 1, nil)); why != BadMAC {
		t.Errorf("another key: %v", why)
	}
	if a.Seal("nobody", 1, nil) != nil || a.Seal("b", 1, make([]byte, MaxBytes)) != nil {
		t.Error("a message to no member, or too long, is sealed")
	}
	if _, why := s.Open(1, make([]byte, MaxBytes+1)); why != TooLong {
		t.Errorf("too long: %v", why)
	}
}

// A process that starts after another of its name ends what that one sent; its own messages begin at 1 again. One whose clock
// went back is notified, and raises its incarnation.
func TestOlderIncarnationIsRejected(t *testing.T) {
	a, s := sealers(t, wide)
	old := a.Seal("b", 1, nil)
	next, _ := New("a", 11, key, []membership.Name{"b"}, wide)
	if _, why := s.Open(1, next.Seal("b", 1, nil)); why != Accepted {
		t.Fatal(why)
	}
	if l, why := s.Open(1, old); why != OldIncarnation || l.From != "a" {
		t.Errorf("of the process before: %v", why)
	}
	a.RaiseIncarnation(s.KnownIncarnation("a"))
	if _, why := s.Open(1, a.Seal("b", 1, nil)); why != Accepted || a.Incarnation() != 12 {
		t.Errorf("after it rose: %v, incarnation %d", why, a.Incarnation())
	}
}

// The messages of a node that sends too much are rejected for a while; those of others are not.
func TestBytesPerSecondAreLimited(t *testing.T) {
	a, s := sealers(t, Limits{BytesPerS: 1000, Burst: 1000})
	c, _ := New("c", 1, key, []membership.Name{"b"}, wide)
	opened := 0
	for range 100 {
		if _, why := s.Open(5, a.Seal("b", 1, make([]byte, 50))); why == Accepted {
			opened++
		}
	}
	if opened < 8 || opened > 11 {
		t.Errorf("%d messages of 100 bytes opened at once, expected 10", opened)
	}
	if _, why := s.Open(5, c.Seal("b", 1, nil)); why != Accepted {
		t.Errorf("another node: %v", why)
	}
	if _, why := s.Open(6, a.Seal("b", 1, nil)); why != Accepted {
		t.Errorf("a second later: %v", why)
	}
}

// The window accepts each number once, in whatever order they come, while it is close behind the highest.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, seen, highest := window{}, map[Number]bool{}, Number(0)
		for range rapid.IntRange(1, 400).Draw(t, "letters") {
			n := Number(rapid.Uint64Range(1, 3000).Draw(t, "number"))
			if near := rapid.Bool().Draw(t, "near"); near {
				n = max(1, highest+Number(rapid.Uint64Range(0, 80).Draw(t, "ahead"))-min(highest, 40))
			}
			first, near := !seen[n], highest < windowWords*64 || n > highest-windowWords*64
			if got := w.accept(n); got != (first && near) {
				t.Fatalf("number %d with %d the highest: taken %t, expected %t", n, highest, got, first && near)
			}
			if near {
				seen[n] = true
			}
			highest = max(highest, n)
		}
	})
}

func FuzzOpen(f *testing.F) {
	a, _ := sealers(f, wide)
	f.Add(a.Seal("b", 1, []byte("x")))
	f.Fuzz(func(t *testing.T, in []byte) {
		a, s := sealers(t, wide)
		genuine := a.Seal("b", 1, []byte("x"))
		if _, why := s.Open(1, in); why == Accepted && !bytes.Equal(in, genuine) {
			t.Errorf("opened what nobody sealed: %x", in)
		}
	})
}
