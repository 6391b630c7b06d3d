package checker

import (
	"fmt"
	"time"
)

func version(change *configuration) string { return fmt.Sprintf("version %d", change.Version) }

// handling is what a client's answer tells about the configuration in force.
type handling uint8

const (
	unclear  handling = iota
	hasRoute          // the path has a queue
	noRoute           // it has none
)

// handlingOf reads a client's answer. A rejected or lost call tells nothing.
func handlingOf(request *Request) handling {
	switch {
	case request.Status == statusNotFound:
		return noRoute
	case success(request.Status), request.Status == statusGone:
		return hasRoute
	}
	return unclear
}

// agrees tells whether a configuration lets a request be handled as it was.
func (c *configuration) agrees(request *Request, seen handling) bool {
	_, found := c.match(request.Host, request.Path)
	return found == (seen == hasRoute)
}

// checkInForce checks that clients' requests are handled by the configuration that must be in force.
func (c *checker) checkInForce() {
	newestSeen := map[incarnation][]effect{}
	for i := range c.Requests {
		request := &c.Requests[i]
		seen := handlingOf(request)
		if seen == unclear {
			continue
		}
		at := incarnation{request.Machine, request.Incarnation}
		lowest, highest, found := c.agreeing(request, seen)
		if !found {
			if seen == hasRoute {
				c.report(Config, request.Path, request.AnsweredAt, "a route was served that is only in a configuration that was refused, or in none")
			} else if c.ackedBefore(request.SentAt) != nil {
				c.report(Config, request.Path, request.AnsweredAt, "a route was refused that every configuration has")
			}
			continue
		}
		c.checkApplied(request, highest)
		c.checkRegress(request, highest, newestSeen[at])
		newestSeen[at] = append(newestSeen[at], effect{lowest, request.AnsweredAt})
	}
}

// incarnation is one life of a machine's processes.
type incarnation struct {
	machine string
	number  int
}

// effect is the lowest version whose effect was seen at a moment.
type effect struct {
	version int64
	at      time.Time
}

// agreeing returns the lowest and the highest version that agree with how a request was handled. Before the first
// configuration, no path has a queue.
func (c *checker) agreeing(request *Request, seen handling) (lowest, highest int64, found bool) {
	if seen == noRoute {
		lowest, highest, found = 0, 0, true
	}
	for _, change := range c.changes {
		if !change.possible() || change.sentAt.After(request.AnsweredAt) || !change.agrees(request, seen) {
			continue
		}
		if !found {
			lowest, found = change.Version, true
		}
		highest = change.Version
	}
	return lowest, highest, found
}

func (c *checker) checkApplied(request *Request, highest int64) {
	must := c.ackedBefore(request.SentAt.Add(-c.Bounds.ConfigurationApply))
	if must != nil && highest < must.Version && c.inTouch(request.Machine, request.SentAt) {
		c.report(Config, version(must), request.SentAt, fmt.Sprintf("%s %s was answered %d, as only version %d or older allows",
			request.Method, request.Path, request.Status, highest))
	}
}

func (c *checker) checkRegress(request *Request, highest int64, before []effect) {
	for _, earlier := range before {
		if highest < earlier.version && request.SentAt.After(earlier.at.Add(c.Bounds.RollbackSlack)) {
			c.report(Config, fmt.Sprintf("version %d", earlier.version), request.SentAt,
				fmt.Sprintf("machine %s went back to version %d or older", request.Machine, highest))
			return
		}
	}
}
