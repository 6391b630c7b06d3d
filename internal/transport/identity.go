package transport

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Identity names one process: the one life of it between a start and an end.
type Identity struct {
	Cluster     string // the system that the process belongs to
	Node        string // the machine's name
	Incarnation uint64 // another one with each start
}

// NewIdentity names a process that starts now. Incarnations are random: a clock that was set back repeats none.
func NewIdentity(cluster, node string) Identity {
	var random [8]byte
	rand.Read(random[:]) // never fails, as documented
	return Identity{Cluster: cluster, Node: node, Incarnation: binary.BigEndian.Uint64(random[:])}
}

const (
	separator       = "/"
	wildcard        = "*" // stands for node and incarnation on first contact; escaped names hold no such sign
	incarnationBase = 36
	headerFields    = 4 // cluster, node, incarnation, call
)

// String returns the identity as it stands in headers.
func (i Identity) String() string {
	return url.PathEscape(i.Cluster) + separator + url.PathEscape(i.Node) + separator + strconv.FormatUint(i.Incarnation, incarnationBase)
}

// sameNode tells whether two processes are lives of one: the same process started again.
func (i Identity) sameNode(other Identity) bool {
	return i.Cluster == other.Cluster && i.Node == other.Node
}

// Addressee is whom a call means: a FirstContact or a Process.
type Addressee interface {
	headerText() string
	// matches tells whether a process is meant.
	matches(process Identity) bool
}

// FirstContact means whoever serves an address for a cluster. It is for callers who do not know the process yet.
type FirstContact struct{ Cluster string }

func (f FirstContact) headerText() string {
	return url.PathEscape(f.Cluster) + separator + wildcard + separator + wildcard
}

func (f FirstContact) matches(process Identity) bool { return f.Cluster == process.Cluster }

// Process means one process and no other.
type Process struct{ Identity }

func (p Process) headerText() string { return p.String() }

func (p Process) matches(process Identity) bool { return p.Identity == process }

var errNoIdentity = errors.New("header names no process")

// processOf returns all but the call of either header.
func processOf(header string) string { return header[:max(0, strings.LastIndex(header, separator))] }

// formatClock writes milliseconds for ClockHeader and UntilHeader, so that all calls of a kind have one length.
func formatClock(milliseconds int64) string { return fmt.Sprintf("%013d", milliseconds) }

// callIDOf returns the name of the call in either header.
func callIDOf(header string) string { return header[strings.LastIndex(header, separator)+1:] }

// parseToHeader reads ToHeader, but for the call.
func parseToHeader(header string) (Addressee, error) {
	parts := strings.Split(header, separator)
	if len(parts) == headerFields && parts[1] == wildcard && parts[2] == wildcard {
		cluster, err := url.PathUnescape(parts[0])
		return FirstContact{cluster}, err
	}
	process, err := parseFromHeader(header)
	return Process{process}, err
}

// parseFromHeader reads FromHeader, but for the call.
func parseFromHeader(header string) (Identity, error) {
	parts := strings.Split(header, separator)
	if len(parts) != headerFields {
		return Identity{}, errNoIdentity
	}
	cluster, clusterErr := url.PathUnescape(parts[0])
	node, nodeErr := url.PathUnescape(parts[1])
	incarnation, numberErr := strconv.ParseUint(parts[2], incarnationBase, 64)
	if err := errors.Join(clusterErr, nodeErr, numberErr); err != nil {
		return Identity{}, err
	}
	return Identity{Cluster: cluster, Node: node, Incarnation: incarnation}, nil
}
