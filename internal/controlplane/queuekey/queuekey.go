// Package queuekey names queues. A client addresses a queue by a host and a path prefix, and a job by these and its ID. The key of a
// queue depends on the two alone: a queue that is removed and added again, with another name or for another service, keeps its key.
package queuekey

import (
	"strings"

	"github.com/zeebo/xxh3"
)

// Key identifies a queue. It is a hash, stored with jobs and sent between nodes, so it must never change. The value 0 stands for a queue
// that is not known, as in jobs that were submitted before jobs had keys.
type Key uint64

// Unknown is the key of jobs whose queue is not known.
const Unknown Key = 0

// Of returns the key of a queue with a host and a path prefix. The port and the case of the host don't matter.
func Of(host, pathPrefix string) Key {
	key := Key(xxh3.HashString(NormalizeHost(host) + "\x00" + pathPrefix))
	if key == Unknown {
		return 1
	}
	return key
}

// Matches reports whether two keys may stand for the same queue. An unknown queue may be any.
func (k Key) Matches(other Key) bool { return k == other || k == Unknown || other == Unknown }

// NormalizeHost removes the port and converts the host to lower case. A colon inside brackets belongs to an IPv6 address.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
