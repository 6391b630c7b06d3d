// Package sealedmessage authenticates the messages between nodes, and rejects replayed messages. Bodies are not encrypted. Open
// returns a Verdict for each message; a message that is not Accepted must not be acted on. The package does no I/O and reads no
// clock.
//
// A message has this form on the wire: version (1 byte), sender and recipient (8 bytes each, XXH3 hashes of their names),
// incarnation of the sender and number of the message (8 bytes each, big endian), kind (1 byte), body, and a message
// authentication code over all of these. The code is the first 16 bytes of BLAKE3 in keyed mode. It covers the recipient too, so
// that a message to one node is invalid at another. Replays are detected with a sliding window over the numbers of an
// incarnation, as in RFC 4303, section 3.4.3.
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

// Incarnation identifies one process of a node. A later process has a higher incarnation.
type Incarnation uint64

// Number is the sequence number of a message. Each incarnation numbers its messages to each other node from 1.
type Number uint64

// Kind is the kind of a message. Package fleet defines the kinds.
type Kind uint8

const (
	// Version is the version of the wire form. Messages with another version are rejected.
	Version = 1
	// KeyBytes is the length of the key that all nodes of a fleet share.
	KeyBytes   = 32
	headerSize = 1 + 8 + 8 + 8 + 8 + 1
	macSize    = 16
	// Overhead is the number of bytes that sealing adds to a body.
	Overhead = headerSize + macSize
	// MaxDatagramBytes is the length of the longest sealed message that is sent as a datagram. With headers it is within the
	// minimum MTU of IPv6.
	MaxDatagramBytes = 1200
	// MaxBytes is the length of the longest sealed message: about 10,000 contracts of 200 bytes.
	MaxBytes = 2 << 20
	// windowWords is the size of the replay window in words of 64 numbers. Numbers below the window are rejected as replayed.
	windowWords = 16
)

// Verdict is the result of opening a message: Accepted, or the reason for the rejection.
type Verdict uint8

// The verdicts.
const (
	Accepted     Verdict = iota
	OtherVersion         // the message has another version of the wire form
	TooLong
	UnknownSender  // the sender is not a member
	WrongRecipient // the message is for another node
	BadMAC         // the message is altered, too short, or sealed with another key
	OldIncarnation // a message of a later incarnation of the sender was received before
	Replayed       // the number was received before, or is below the replay window
	RateLimited    // the sender exceeds Limits
)

// String returns the name of the verdict in counters.
func (v Verdict) String() string {
	return [...]string{"good", "other_version", "too_long", "unknown", "not_ours", "altered", "old", "replayed", "too_much"}[v]
}

// Message is an opened message. Body shares memory with the sealed bytes.
type Message struct {
	From        membership.Name
	Incarnation Incarnation
	Number      Number
	Kind        Kind
	Body        []byte
}

// Limits limit how many bytes are accepted from each other node: a second, and in one burst.
type Limits struct{ BytesPerSecond, Burst float64 }

// replayWindow records which numbers of an incarnation were received: the highest, and a bit for each number in the window up to it.
type replayWindow struct {
	incarnation Incarnation
	highest     Number
	seen        [windowWords]uint64
}

// accept records a number. It reports whether the number is in or above the window and was not received before.
func (w *replayWindow) accept(number Number) bool {
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

// peer is the state of another node.
type peer struct {
	name       membership.Name
	id         uint64
	window     replayWindow
	lastNumber Number
	limiter    *rate.Limiter
}

// Sealer seals and opens the messages of one node. It must be used by one goroutine only.
type Sealer struct {
	self        uint64
	incarnation Incarnation
	key         [KeyBytes]byte
	byName      map[membership.Name]*peer
	byID        map[uint64]*peer
}

func nameHash(name membership.Name) uint64 { return xxh3.HashString(string(name)) }

// NameCollisionError is a name with the same hash as the name of another member. Messages could not distinguish the two.
type NameCollisionError membership.Name

// Error returns the message for the operator who chose the name.
func (e NameCollisionError) Error() string {
	return fmt.Sprintf("the name %q looks like another one: expected a name with another hash", string(e))
}

// New returns the sealer of the node self. The error is a NameCollisionError.
func New(self membership.Name, incarnation Incarnation, key [KeyBytes]byte, peers []membership.Name, limits Limits) (*Sealer, error) {
	s := &Sealer{self: nameHash(self), incarnation: incarnation, key: key, byName: map[membership.Name]*peer{}, byID: map[uint64]*peer{}}
	for _, name := range peers {
		p := &peer{name: name, id: nameHash(name), limiter: rate.NewLimiter(rate.Limit(limits.BytesPerSecond), int(limits.Burst))}
		if other := s.byID[p.id]; other != nil || p.id == s.self {
			return nil, NameCollisionError(name)
		}
		s.byName[name], s.byID[p.id] = p, p
	}
	return s, nil
}

// Incarnation returns the current incarnation of this process.
func (s *Sealer) Incarnation() Incarnation { return s.incarnation }

// RaiseIncarnation raises the incarnation above the given one, unless it is higher already. Another node has received the given
// incarnation under the name of this node. It can be as high as the current one if the clock went back, or if a second process
// uses the same name.
func (s *Sealer) RaiseIncarnation(above Incarnation) {
	if above < s.incarnation {
		return
	}
	s.incarnation = above + 1
	for _, p := range s.byName {
		p.lastNumber = 0
	}
}

func (s *Sealer) mac(sealed []byte) []byte {
	h, err := blake3.NewKeyed(s.key[:])
	if err != nil {
		panic(err) // unreachable: the type of the key fixes its length
	}
	h.Write(sealed)
	return h.Sum(nil)[:macSize]
}

// Seal returns a sealed message to a member, or nil if there is no such member or the body is too long.
func (s *Sealer) Seal(to membership.Name, kind Kind, body []byte) []byte {
	recipient := s.byName[to]
	if recipient == nil || len(body) > MaxBytes-Overhead {
		return nil
	}
	recipient.lastNumber++
	sealed := make([]byte, 0, Overhead+len(body))
	sealed = append(sealed, Version)
	sealed = binary.BigEndian.AppendUint64(sealed, s.self)
	sealed = binary.BigEndian.AppendUint64(sealed, recipient.id)
	sealed = binary.BigEndian.AppendUint64(sealed, uint64(s.incarnation))
	sealed = binary.BigEndian.AppendUint64(sealed, uint64(recipient.lastNumber))
	sealed = append(append(sealed, byte(kind)), body...)
	return append(sealed, s.mac(sealed)...)
}

// Open authenticates and decodes a message that was received at the time now, in seconds. The message may be acted on only if the
// verdict is Accepted. With the verdict OldIncarnation the message is filled in too, so that its sender can be notified of the
// incarnation that KnownIncarnation returns.
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
	// The limit is checked after authentication. Otherwise forged messages could use up the limit of the node that they name.
	case !sender.limiter.AllowN(time.Unix(0, int64(now*1e9)), len(sealed)):
		return message, RateLimited
	}
	message = Message{From: sender.name, Incarnation: Incarnation(binary.BigEndian.Uint64(sealed[17:])), Number: Number(binary.BigEndian.Uint64(sealed[25:])),
		Kind: Kind(sealed[33]), Body: body[headerSize:]}
	switch received := &sender.window; {
	case message.Incarnation < received.incarnation:
		return message, OldIncarnation
	case message.Incarnation > received.incarnation:
		*received = replayWindow{incarnation: message.Incarnation}
		fallthrough
	default:
		if !received.accept(message.Number) {
			return message, Replayed
		}
	}
	return message, Accepted
}

// KnownIncarnation returns the highest incarnation received from a node, or 0 if there is none.
func (s *Sealer) KnownIncarnation(name membership.Name) Incarnation {
	if p := s.byName[name]; p != nil {
		return p.window.incarnation
	}
	return 0
}
