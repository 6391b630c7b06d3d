package transport

import (
	"crypto/rand"
	"encoding/binary"
	"net/url"
	"strconv"
)

// Identity names one process, from its start to its end.
type Identity struct {
	Cluster     string // name of the system that the process belongs to
	Node        string // the machine's name
	Incarnation uint64 // drawn at each start
}

// NewIdentity names a process that starts now. The incarnation is random and not a time, which could be repeated after a
// clock was set back.
func NewIdentity(cluster, node string) Identity {
	var random [8]byte
	rand.Read(random[:]) // never fails, as documented
	return Identity{Cluster: cluster, Node: node, Incarnation: binary.BigEndian.Uint64(random[:])}
}

// String returns the identity as headers have it: cluster/node/incarnation, the names escaped as in paths of URLs.
func (i Identity) String() string {
	return url.PathEscape(i.Cluster) + separator + url.PathEscape(i.Node) + separator + strconv.FormatUint(i.Incarnation, incarnationBase)
}

// sameNode tells whether two identities are the same or incarnations of one node.
func (i Identity) sameNode(other Identity) bool {
	return i.Cluster == other.Cluster && i.Node == other.Node
}

// Addressee is the process that a call is to: a FirstContact or a Process.
type Addressee interface {
	// headerText is the addressee as ToHeader has it, without the call.
	headerText() string
	// matches tells whether a process is the addressee.
	matches(process Identity) bool
}

// FirstContact addresses whichever process of a cluster serves an address. It is for callers who do not know the process yet.
type FirstContact struct{ Cluster string }

func (f FirstContact) headerText() string {
	return url.PathEscape(f.Cluster) + separator + wildcard + separator + wildcard
}

func (f FirstContact) matches(process Identity) bool { return f.Cluster == process.Cluster }

// Process addresses one process and no other.
type Process struct{ Identity }

func (p Process) headerText() string { return p.String() }

func (p Process) matches(process Identity) bool { return p.Identity == process }
