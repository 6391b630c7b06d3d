package transport

import (
	"crypto/rand"
	"encoding/binary"
	"net/url"
	"strconv"
)

// Identity identifies one run of a process.
type Identity struct {
	Cluster     string // name of the cluster of the process
	Node        string // name of the machine
	Incarnation uint64 // random, new at each start of the process
}

// NewIdentity returns the identity of a process that starts now. The incarnation is random and not a time, because a time
// could repeat after the clock was set back.
func NewIdentity(cluster, node string) Identity {
	var random [8]byte
	rand.Read(random[:]) // never fails, as documented
	return Identity{Cluster: cluster, Node: node, Incarnation: binary.BigEndian.Uint64(random[:])}
}

// String returns the identity in the format of headers: cluster/node/incarnation, with the names escaped as in URL paths.
func (i Identity) String() string {
	return url.PathEscape(i.Cluster) + headerSeparator + url.PathEscape(i.Node) + headerSeparator + strconv.FormatUint(i.Incarnation, incarnationBase)
}

// sameNode reports whether two identities are equal or are incarnations of the same node.
func (i Identity) sameNode(other Identity) bool {
	return i.Cluster == other.Cluster && i.Node == other.Node
}

// Addressee specifies which process may execute a call. It is an AnyProcess or a Process.
type Addressee interface {
	// headerText returns the addressee in the format of ToHeader, without the call ID.
	headerText() string
	// matches reports whether a process may execute the call.
	matches(process Identity) bool
}

// AnyProcess addresses any process of a cluster. A caller uses it while it doesn't know the process at a network address.
type AnyProcess struct{ Cluster string }

func (a AnyProcess) headerText() string {
	return url.PathEscape(a.Cluster) + headerSeparator + headerWildcard + headerSeparator + headerWildcard
}

func (a AnyProcess) matches(process Identity) bool { return a.Cluster == process.Cluster }

// Process addresses exactly one process.
type Process struct{ Identity }

func (p Process) headerText() string { return p.String() }

func (p Process) matches(process Identity) bool { return p.Identity == process }
