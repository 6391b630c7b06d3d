package transport

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Format of ToHeader and FromHeader.
const (
	headerSeparator  = "/"
	headerWildcard   = "*" // for node and incarnation of AnyProcess; escaped names never contain it
	incarnationBase  = 36
	headerFieldCount = 4 // cluster, node, incarnation, call
)

var errMalformedHeader = errors.New("malformed header: expected cluster/node/incarnation/call")

// processOf returns a ToHeader or FromHeader without the call ID.
func processOf(header string) string {
	return header[:max(0, strings.LastIndex(header, headerSeparator))]
}

// formatClock formats milliseconds for ClockHeader and UntilHeader. It pads them so that all calls of a kind have the same
// length.
func formatClock(milliseconds int64) string { return fmt.Sprintf("%013d", milliseconds) }

// callIDOf returns the call ID in a ToHeader or FromHeader.
func callIDOf(header string) string { return header[strings.LastIndex(header, headerSeparator)+1:] }

// parseToHeader parses the addressee in a ToHeader.
func parseToHeader(header string) (Addressee, error) {
	fields := strings.Split(header, headerSeparator)
	if len(fields) == headerFieldCount && fields[1] == headerWildcard && fields[2] == headerWildcard {
		cluster, err := url.PathUnescape(fields[0])
		return AnyProcess{cluster}, err
	}
	process, err := parseFromHeader(header)
	return Process{process}, err
}

// parseFromHeader parses the process in a FromHeader.
func parseFromHeader(header string) (Identity, error) {
	fields := strings.Split(header, headerSeparator)
	if len(fields) != headerFieldCount {
		return Identity{}, errMalformedHeader
	}
	cluster, clusterErr := url.PathUnescape(fields[0])
	node, nodeErr := url.PathUnescape(fields[1])
	incarnation, incarnationErr := strconv.ParseUint(fields[2], incarnationBase, 64)
	if err := errors.Join(clusterErr, nodeErr, incarnationErr); err != nil {
		return Identity{}, err
	}
	return Identity{Cluster: cluster, Node: node, Incarnation: incarnation}, nil
}
