package checker

import (
	"fmt"
	"time"
)

func versionName(change *configuration) string { return fmt.Sprintf("version %d", change.Version) }

// observedRoute is what a client's answer shows about the active configuration: whether it has a route for the request.
type observedRoute uint8

const (
	unclear  observedRoute = iota
	hasRoute               // the path has a route
	noRoute                // the path has no route
)

// observedRouteOf returns what a client's answer shows. The result is unclear for a rejected or lost request.
func observedRouteOf(request *Request) observedRoute {
	switch {
	case request.Status == statusNotFound:
		return noRoute
	case succeeded(request.Status), request.Status == statusGone:
		return hasRoute
	}
	return unclear
}

// agreesWith reports whether the configuration is consistent with what the answer to a request showed.
func (c *configuration) agreesWith(request *Request, seen observedRoute) bool {
	_, found := c.matchRoute(request.Host, request.Path)
	return found == (seen == hasRoute)
}

// checkActiveConfiguration checks that clients' requests were handled with the configuration that had to be active.
func (c *checker) checkActiveConfiguration() {
	newestSeen := map[incarnation][]observedVersion{}
	for i := range c.Requests {
		request := &c.Requests[i]
		seen := observedRouteOf(request)
		if seen == unclear {
			continue
		}
		at := incarnation{request.Machine, request.Incarnation}
		lowest, highest, found := c.agreeingVersions(request, seen)
		if !found {
			if seen == hasRoute {
				c.report(Config, request.Path, request.AnsweredAt, "a route was served that no configuration has, except perhaps rejected ones")
			} else if c.newestAcknowledgedBefore(request.SentAt) != nil {
				c.report(Config, request.Path, request.AnsweredAt, "a route was not found that every configuration has")
			}
			continue
		}
		c.checkApplied(request, highest)
		c.checkRollback(request, highest, newestSeen[at])
		newestSeen[at] = append(newestSeen[at], observedVersion{lowest, request.AnsweredAt})
	}
}

// incarnation identifies the processes of a machine between two starts.
type incarnation struct {
	machine string
	number  int
}

// observedVersion is the lowest configuration version that agrees with an answer at an instant.
type observedVersion struct {
	version int64
	at      time.Time
}

// agreeingVersions returns the lowest and the highest version that agree with the answer to a request. Version 0 is the state
// before the first configuration, in which no path has a route.
func (c *checker) agreeingVersions(request *Request, seen observedRoute) (lowest, highest int64, found bool) {
	if seen == noRoute {
		lowest, highest, found = 0, 0, true
	}
	for _, change := range c.configurations {
		if !change.mayBeActive() || change.sentAt.After(request.AnsweredAt) || !change.agreesWith(request, seen) {
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
	required := c.newestAcknowledgedBefore(request.SentAt.Add(-c.Bounds.ConfigurationApply))
	if required != nil && highest < required.Version && c.inContact(request.Machine, request.SentAt) {
		c.report(Config, versionName(required), request.SentAt, fmt.Sprintf("%s %s was answered %d, as only version %d or older allows",
			request.Method, request.Path, request.Status, highest))
	}
}

func (c *checker) checkRollback(request *Request, highest int64, before []observedVersion) {
	for _, earlier := range before {
		if highest < earlier.version && request.SentAt.After(earlier.at.Add(c.Bounds.RollbackSlack)) {
			c.report(Config, fmt.Sprintf("version %d", earlier.version), request.SentAt,
				fmt.Sprintf("machine %s went back to version %d or older", request.Machine, highest))
			return
		}
	}
}
