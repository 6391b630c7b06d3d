// Package sealedmessage seals what nodes say to each other, and opens it. It does no I/O and reads no clock. What is unknown,
// altered, replayed, too long, of another version, or too much, is told apart and never acted on.
//
// A message as it travels: version (1 byte), who it is from and for (8 bytes each, hashes of names), the sender's
// incarnation and the message's number (8 bytes each, big endian), its kind (1 byte), the body, and a keyed hash of all
// that (16 bytes of BLAKE3). Who it is for is under the hash too: a message to one node is none to another.
package sealedmessage

import (
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/zeebo/blake3"
	"github.com/zeebo/xxh3"
	"golang.org/x/time/rate"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// Incarnation is one process of a node; a later one's is larger.
type Incarnation uint64

// Number counts the messages of an incarnation to one other node, from 1.
type Number uint64

// Kind is what a message is about; the fleet's actor knows which there are.
type Kind uint8

const (
	// Version of the messages. Another one is refused.
	Version = 1
	// KeyBytes is the length of the key that all of a fleet share.
	KeyBytes   = 32
	headerSize = 1 + 8 + 8 + 8 + 8 + 1
	macSize    = 16
	// Overhead is what sealing adds to a body.
	Overhead = headerSize + macSize
	// MaxDatagramBytes is what goes as a datagram: under the least MTU of IPv6, less heads.
	MaxDatagramBytes = 1200
	// MaxBytes bounds the rest: some 10,000 contracts of 200 bytes.
	MaxBytes = 2 << 20
	// windowWords x 64 numbers behind the highest are known to have come or not; those before are taken for replayed.
	windowWords = 16
)

// Verdict tells why a message was not opened.
type Verdict uint8

// The reasons.
const (
	Accepted     Verdict = iota
	OtherVersion         // than ours
	TooLong
	UnknownSender  // from none of the membership
	WrongRecipient // for another node
	BadMAC         // its hash is another
	OldIncarnation // of an incarnation before one that was heard
	Replayed       // its number came before, or is too far behind to tell
	RateLimited    // more bytes a second than a node may send
)

func (w Verdict) String() string {
	return [...]string{"good", "other_version", "too_long", "unknown", "not_ours", "altered", "old", "replayed", "too_much"}[w]
}

// Message is one that was opened.
type Message struct {
	From        membership.Name
	Incarnation Incarnation
	Number      Number
	Kind        Kind
	Body        []byte
}

// Limits bound what one other node may make us take in.
type Limits struct{ BytesPerS, Burst float64 }

// window knows which numbers of an incarnation came: the highest, and a bit for each of those close behind.
type window struct {
	incarnation Incarnation
	highest     Number
	seen        [windowWords]uint64
}

// accept notes a number, and tells whether it is the first time that it came.
func (w *window) accept(n Number) bool {
	const size = windowWords * 64
	switch {
	case n > w.highest:
		for i := w.highest + 1; i <= n && i <= w.highest+size; i++ {
			w.seen[i/64%windowWords] &^= 1 << (i % 64)
		}
		w.highest = n
	case w.highest-n >= size:
		return false
	}
	bit, word := uint64(1)<<(n%64), &w.seen[n/64%windowWords]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// peer lives as long as the sealer.
type peer struct {
	name    membership.Name
	id      uint64
	window  window
	sent    Number
	limiter *rate.Limiter
}

// Sealer seals and opens for one node.
type Sealer struct {
	self        uint64
	incarnation Incarnation
	key         [KeyBytes]byte
	byName      map[membership.Name]*peer
	byID        map[uint64]*peer
}

func id(name membership.Name) uint64 { return xxh3.HashString(string(name)) }

// NameCollisionError is a name whose hash is another one's too: messages could not tell the two apart.
type NameCollisionError membership.Name

func (e NameCollisionError) Error() string {
	return fmt.Sprintf("the name %q looks like another one: expected a name with another hash", string(e))
}

// New makes the sealer of a node and the others of its membership.
func New(self membership.Name, incarnation Incarnation, key [KeyBytes]byte, others []membership.Name, lim Limits) (*Sealer, error) {
	s := &Sealer{self: id(self), incarnation: incarnation, key: key, byName: map[membership.Name]*peer{}, byID: map[uint64]*peer{}}
	for _, name := range others {
		p := &peer{name: name, id: id(name), limiter: rate.NewLimiter(rate.Limit(lim.BytesPerS), int(lim.Burst))}
		if other := s.byID[p.id]; other != nil || p.id == s.self {
			return nil, NameCollisionError(name)
		}
		s.byName[name], s.byID[p.id] = p, p
	}
	return s, nil
}

// Incarnation is that of this process.
func (s *Sealer) Incarnation() Incarnation { return s.incarnation }

// RaiseIncarnation takes a higher incarnation, where another node knows of one as high as ours: a clock that went back, or a second
// process under our name.
func (s *Sealer) RaiseIncarnation(above Incarnation) {
	if above < s.incarnation {
		return
	}
	s.incarnation = above + 1
	for _, p := range s.byName {
		p.sent = 0
	}
}

func (s *Sealer) mac(sealed []byte) []byte {
	h, err := blake3.NewKeyed(s.key[:])
	if err != nil {
		panic(err) // the key's length is its type's
	}
	h.Write(sealed)
	return h.Sum(nil)[:macSize]
}

// Seal makes a message ready to travel; nil if it is for none of the membership or too long.
func (s *Sealer) Seal(to membership.Name, kind Kind, body []byte) []byte {
	p := s.byName[to]
	if p == nil || len(body) > MaxBytes-Overhead {
		return nil
	}
	p.sent++
	out := make([]byte, 0, Overhead+len(body))
	out = append(out, Version)
	out = binary.BigEndian.AppendUint64(out, s.self)
	out = binary.BigEndian.AppendUint64(out, p.id)
	out = binary.BigEndian.AppendUint64(out, uint64(s.incarnation))
	out = binary.BigEndian.AppendUint64(out, uint64(p.sent))
	out = append(append(out, byte(kind)), body...)
	return append(out, s.mac(out)...)
}

// Open opens what came at a time in seconds. Why is Good for a message to act on; of an Old one the message tells who it is
// from, so that its sender can be told the incarnation that Known has.
func (s *Sealer) Open(now float64, in []byte) (l Message, why Verdict) {
	switch {
	case len(in) > MaxBytes:
		return l, TooLong
	case len(in) < Overhead:
		return l, BadMAC
	case in[0] != Version:
		return l, OtherVersion
	}
	p := s.byID[binary.BigEndian.Uint64(in[1:])]
	switch {
	case p == nil:
		return l, UnknownSender
	case binary.BigEndian.Uint64(in[9:]) != s.self:
		return l, WrongRecipient
	}
	body := in[:len(in)-macSize]
	switch {
	case subtle.ConstantTimeCompare(s.mac(body), in[len(in)-macSize:]) != 1:
		return l, BadMAC
	// After the hash: else whoever forges a sender could use up what that one may send.
	case !p.limiter.AllowN(time.Unix(0, int64(now*1e9)), len(in)):
		return l, RateLimited
	}
	l = Message{From: p.name, Incarnation: Incarnation(binary.BigEndian.Uint64(in[17:])), Number: Number(binary.BigEndian.Uint64(in[25:])),
		Kind: Kind(in[33]), Body: body[headerSize:]}
	switch w := &p.window; {
	case l.Incarnation < w.incarnation:
		return l, OldIncarnation
	case l.Incarnation > w.incarnation:
		*w = window{incarnation: l.Incarnation}
		fallthrough
	default:
		if !w.accept(l.Number) {
			return l, Replayed
		}
	}
	return l, Accepted
}

// KnownIncarnation is the highest incarnation heard of a node, 0 for none.
func (s *Sealer) KnownIncarnation(name membership.Name) Incarnation {
	if p := s.byName[name]; p != nil {
		return p.window.incarnation
	}
	return 0
}
