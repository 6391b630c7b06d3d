package transport

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// The form of ToHeader and FromHeader.
const (
	separator       = "/"
	wildcard        = "*" // for node and incarnation on first contact; escaped names never contain it
	incarnationBase = 36
	headerFields    = 4 // cluster, node, incarnation, call
)

var errMalformedHeader = errors.New("header names no process")

// processOf returns a ToHeader or FromHeader without the call's ID.
func processOf(header string) string { return header[:max(0, strings.LastIndex(header, separator))] }

// formatClock writes milliseconds for ClockHeader and UntilHeader, padded so that all calls of a kind have one length.
func formatClock(milliseconds int64) string { return fmt.Sprintf("%013d", milliseconds) }

// callIDOf returns the call's ID in a ToHeader or FromHeader.
func callIDOf(header string) string { return header[strings.LastIndex(header, separator)+1:] }

// parseToHeader reads the addressee in a ToHeader.
func parseToHeader(header string) (Addressee, error) {
	fields := strings.Split(header, separator)
	if len(fields) == headerFields && fields[1] == wildcard && fields[2] == wildcard {
		cluster, err := url.PathUnescape(fields[0])
		return FirstContact{cluster}, err
	}
	process, err := parseFromHeader(header)
	return Process{process}, err
}

// parseFromHeader reads the process in a FromHeader.
func parseFromHeader(header string) (Identity, error) {
	fields := strings.Split(header, separator)
	if len(fields) != headerFields {
		return Identity{}, errMalformedHeader
	}
	cluster, clusterErr := url.PathUnescape(fields[0])
	node, nodeErr := url.PathUnescape(fields[1])
	incarnation, numberErr := strconv.ParseUint(fields[2], incarnationBase, 64)
	if err := errors.Join(clusterErr, nodeErr, numberErr); err != nil {
		return Identity{}, err
	}
	return Identity{Cluster: cluster, Node: node, Incarnation: incarnation}, nil
}
