package checker

import (
	"fmt"
	"time"
)

func version(change *configuration) string { return fmt.Sprintf("version %d", change.Version) }

// routePresence is what a client's answer shows of the active configuration.
type routePresence uint8

const (
	unclear  routePresence = iota
	hasRoute               // the path has a queue
	noRoute                // it has none
)

// routePresenceOf reads a client's answer. A rejected or lost call shows nothing.
func routePresenceOf(request *Request) routePresence {
	switch {
	case request.Status == statusNotFound:
		return noRoute
	case success(request.Status), request.Status == statusGone:
		return hasRoute
	}
	return unclear
}

// explains reports whether a configuration lets a request be handled as it was.
func (c *configuration) explains(request *Request, seen routePresence) bool {
	_, found := c.match(request.Host, request.Path)
	return found == (seen == hasRoute)
}

// checkActiveConfiguration checks that clients' requests are handled by the configuration that must be in force.
func (c *checker) checkActiveConfiguration() {
	newestSeen := map[incarnation][]observedVersion{}
	for i := range c.Requests {
		request := &c.Requests[i]
		seen := routePresenceOf(request)
		if seen == unclear {
			continue
		}
		at := incarnation{request.Machine, request.Incarnation}
		lowest, highest, found := c.agreeingVersions(request, seen)
		if !found {
			if seen == hasRoute {
				c.report(Config, request.Path, request.AnsweredAt, "a route was served that is only in a configuration that was refused, or in none")
			} else if c.newestAcknowledgedBefore(request.SentAt) != nil {
				c.report(Config, request.Path, request.AnsweredAt, "a route was refused that every configuration has")
			}
			continue
		}
		c.checkApplied(request, highest)
		c.checkRegress(request, highest, newestSeen[at])
		newestSeen[at] = append(newestSeen[at], observedVersion{lowest, request.AnsweredAt})
	}
}

// incarnation names one start of a machine's processes.
type incarnation struct {
	machine string
	number  int
}

// observedVersion is the lowest version whose effect was seen at an instant.
type observedVersion struct {
	version int64
	at      time.Time
}

// agreeingVersions returns the lowest and the highest version that agree with how a request was handled. Before the first
// configuration, no path has a queue.
func (c *checker) agreeingVersions(request *Request, seen routePresence) (lowest, highest int64, found bool) {
	if seen == noRoute {
		lowest, highest, found = 0, 0, true
	}
	for _, change := range c.changes {
		if !change.mayBeActive() || change.sentAt.After(request.AnsweredAt) || !change.explains(request, seen) {
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
	must := c.newestAcknowledgedBefore(request.SentAt.Add(-c.Bounds.ConfigurationApply))
	if must != nil && highest < must.Version && c.inContact(request.Machine, request.SentAt) {
		c.report(Config, version(must), request.SentAt, fmt.Sprintf("%s %s was answered %d, as only version %d or older allows",
			request.Method, request.Path, request.Status, highest))
	}
}

func (c *checker) checkRegress(request *Request, highest int64, before []observedVersion) {
	for _, earlier := range before {
		if highest < earlier.version && request.SentAt.After(earlier.at.Add(c.Bounds.RollbackSlack)) {
			c.report(Config, fmt.Sprintf("version %d", earlier.version), request.SentAt,
				fmt.Sprintf("machine %s went back to version %d or older", request.Machine, highest))
			return
		}
	}
}
