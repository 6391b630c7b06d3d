// Package sealedmessage authenticates the messages between nodes, and rejects replayed ones. It does no I/O and reads no clock.
// Bodies are not encrypted. A message that is rejected is reported with its Verdict, and must not be acted on.
//
// On the wire: version (1 byte), sender and recipient (8 bytes each, XXH3 hashes of names), the sender's incarnation and the
// message's number (8 bytes each, big endian), its kind (1 byte), the body, and a message authentication code over all that:
// the first 16 bytes of BLAKE3 in keyed mode. The recipient is authenticated too: a message to one node is invalid at another.
// Replays are found with a sliding window over the numbers of an incarnation, as in RFC 4303, section 3.4.3.
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

// Kind is what a message is about; package fleet defines them.
type Kind uint8

const (
	// Version of the wire form. Messages of another one are rejected.
	Version = 1
	// KeyBytes is the length of the key that all of a fleet share.
	KeyBytes   = 32
	headerSize = 1 + 8 + 8 + 8 + 8 + 1
	macSize    = 16
	// Overhead is how many bytes sealing adds to a body.
	Overhead = headerSize + macSize
	// MaxDatagramBytes is the longest sealed message that is sent as a datagram: within IPv6's minimum MTU, without headers.
	MaxDatagramBytes = 1200
	// MaxBytes is the longest sealed message: some 10,000 contracts of 200 bytes.
	MaxBytes = 2 << 20
	// windowWords times 64 numbers up to the highest are remembered; those before count as replayed.
	windowWords = 16
)

// Verdict tells whether a message may be acted on, or why not.
type Verdict uint8

// The verdicts.
const (
	Accepted     Verdict = iota
	OtherVersion         // than ours
	TooLong
	UnknownSender  // from no member
	WrongRecipient // for another node
	BadMAC         // altered, or sealed with another key
	OldIncarnation // of an earlier incarnation than one that was received
	Replayed       // its number was received before, or is behind the window
	RateLimited    // its sender exceeds Limits
)

// String is the verdict as counters name it.
func (v Verdict) String() string {
	return [...]string{"good", "other_version", "too_long", "unknown", "not_ours", "altered", "old", "replayed", "too_much"}[v]
}

// Message is an opened message. Body is a part of the bytes that were opened.
type Message struct {
	From        membership.Name
	Incarnation Incarnation
	Number      Number
	Kind        Kind
	Body        []byte
}

// Limits bound what is accepted from each other node: bytes a second, and bytes at once.
type Limits struct{ BytesPerS, Burst float64 }

// window remembers which numbers of an incarnation were received: the highest, and a bit for each of those close behind.
type window struct {
	incarnation Incarnation
	highest     Number
	seen        [windowWords]uint64
}

// accept records a number, and tells whether it was not received before.
func (w *window) accept(number Number) bool {
	const size = windowWords * 64
	switch {
	case number > w.highest:
		for i := w.highest + 1; i <= number && i <= w.highest+size; i++ {
			w.seen[i/64%windowWords] &^= 1 << (i % 64)
		}
		w.highest = number
	case w.highest-number >= size:
		return false
	}
	bit, word := uint64(1)<<(number%64), &w.seen[number/64%windowWords]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// peer is another node, as long as the sealer exists.
type peer struct {
	name    membership.Name
	id      uint64
	window  window
	sent    Number
	limiter *rate.Limiter
}

// Sealer seals and opens the messages of one node. One goroutine uses it.
type Sealer struct {
	self        uint64
	incarnation Incarnation
	key         [KeyBytes]byte
	byName      map[membership.Name]*peer
	byID        map[uint64]*peer
}

func nameHash(name membership.Name) uint64 { return xxh3.HashString(string(name)) }

// NameCollisionError is a name whose hash is another member's too: messages could not tell the two apart.
type NameCollisionError membership.Name

// Error says so to whoever chose the name.
func (e NameCollisionError) Error() string {
	return fmt.Sprintf("the name %q looks like another one: expected a name with another hash", string(e))
}

// New makes the sealer of a node among its peers. The error is a NameCollisionError.
func New(self membership.Name, incarnation Incarnation, key [KeyBytes]byte, others []membership.Name, limits Limits) (*Sealer, error) {
	s := &Sealer{self: nameHash(self), incarnation: incarnation, key: key, byName: map[membership.Name]*peer{}, byID: map[uint64]*peer{}}
	for _, name := range others {
		p := &peer{name: name, id: nameHash(name), limiter: rate.NewLimiter(rate.Limit(limits.BytesPerS), int(limits.Burst))}
		if other := s.byID[p.id]; other != nil || p.id == s.self {
			return nil, NameCollisionError(name)
		}
		s.byName[name], s.byID[p.id] = p, p
	}
	return s, nil
}

// Incarnation is this process's.
func (s *Sealer) Incarnation() Incarnation { return s.incarnation }

// RaiseIncarnation takes an incarnation above one that another node has received under our name, where that is as high as ours:
// the clock went back, or a second process has our name.
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

// Seal makes a message to a member; nil if there is no such member or the body is too long.
func (s *Sealer) Seal(to membership.Name, kind Kind, body []byte) []byte {
	recipient := s.byName[to]
	if recipient == nil || len(body) > MaxBytes-Overhead {
		return nil
	}
	recipient.sent++
	sealed := make([]byte, 0, Overhead+len(body))
	sealed = append(sealed, Version)
	sealed = binary.BigEndian.AppendUint64(sealed, s.self)
	sealed = binary.BigEndian.AppendUint64(sealed, recipient.id)
	sealed = binary.BigEndian.AppendUint64(sealed, uint64(s.incarnation))
	sealed = binary.BigEndian.AppendUint64(sealed, uint64(recipient.sent))
	sealed = append(append(sealed, byte(kind)), body...)
	return append(sealed, s.mac(sealed)...)
}

// Open checks a message that was received at a time in seconds. The verdict is Accepted for one to act on; of one with an
// OldIncarnation the message names the sender, so that it can be notified of the incarnation that KnownIncarnation has.
func (s *Sealer) Open(now float64, sealed []byte) (message Message, verdict Verdict) {
	switch {
	case len(sealed) > MaxBytes:
		return message, TooLong
	case len(sealed) < Overhead:
		return message, BadMAC
	case sealed[0] != Version:
		return message, OtherVersion
	}
	sender := s.byID[binary.BigEndian.Uint64(sealed[1:])]
	switch {
	case sender == nil:
		return message, UnknownSender
	case binary.BigEndian.Uint64(sealed[9:]) != s.self:
		return message, WrongRecipient
	}
	body := sealed[:len(sealed)-macSize]
	switch {
	case subtle.ConstantTimeCompare(s.mac(body), sealed[len(sealed)-macSize:]) != 1:
		return message, BadMAC
	// After the authentication: else forged messages could use up the limit of the node that they name.
	case !sender.limiter.AllowN(time.Unix(0, int64(now*1e9)), len(sealed)):
		return message, RateLimited
	}
	message = Message{From: sender.name, Incarnation: Incarnation(binary.BigEndian.Uint64(sealed[17:])), Number: Number(binary.BigEndian.Uint64(sealed[25:])),
		Kind: Kind(sealed[33]), Body: body[headerSize:]}
	switch replay := &sender.window; {
	case message.Incarnation < replay.incarnation:
		return message, OldIncarnation
	case message.Incarnation > replay.incarnation:
		*replay = window{incarnation: message.Incarnation}
		fallthrough
	default:
		if !replay.accept(message.Number) {
			return message, Replayed
		}
	}
	return message, Accepted
}

// KnownIncarnation is the highest incarnation received from a node, 0 for none.
func (s *Sealer) KnownIncarnation(name membership.Name) Incarnation {
	if p := s.byName[name]; p != nil {
		return p.window.incarnation
	}
	return 0
}
