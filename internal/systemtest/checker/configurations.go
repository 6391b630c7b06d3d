package checker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	TimeoutMS   int64  `json:"timeoutMs"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
}

// configuration is a configuration that an operator sent or read.
type configuration struct {
	Version  int64   `json:"version"`
	Routes   []route `json:"routes"`
	Services []struct {
		Name string `json:"name"`
	} `json:"services"`

	builtOn        int64
	body           []byte
	valid          bool
	sentAt         time.Time
	acknowledgedAt time.Time // the first acknowledgement
	rejected       bool      // definitely rejected and never acknowledged
}

// idLength is the number of hexadecimal digits of a job's ID.
const idLength = 16

// addressesQueueOrJob reports whether the rest of a path, after the prefix of a queue, addresses the queue or one of its jobs.
func addressesQueueOrJob(rest string) bool {
	return rest == "" || len(rest) == idLength && strings.Trim(rest, "0123456789abcdefABCDEF") == ""
}

// matchRoute returns the route of a path, which is the one with the longest matching prefix. It finds none for a path that addresses neither
// the route's queue nor a job, as that of a job whose queue was removed and lay beneath another one.
func (c *configuration) matchRoute(host, path string) (route, bool) {
	var best route
	found := false
	for _, attempt := range c.Routes {
		if attempt.Host == host && strings.HasPrefix(path, attempt.PathPrefix) && (!found || len(attempt.PathPrefix) > len(best.PathPrefix)) {
			best, found = attempt, true
		}
	}
	return best, found && addressesQueueOrJob(strings.TrimPrefix(path, best.PathPrefix))
}

// parseConfiguration parses a configuration. It sets valid if the configuration is valid on top of version builtOn.
func parseConfiguration(body []byte, builtOn int64) *configuration {
	c := &configuration{builtOn: builtOn, body: body}
	if json.Unmarshal(body, c) != nil {
		return c
	}
	c.valid = c.Version > builtOn && c.consistent()
	return c
}

func (c *configuration) consistent() bool {
	services := map[string]bool{}
	for _, service := range c.Services {
		services[service.Name] = true
	}
	type routeKey struct{ host, prefix string }
	seen := map[routeKey]bool{}
	for _, attempt := range c.Routes {
		key := routeKey{attempt.Host, attempt.PathPrefix}
		if !services[attempt.Service] || seen[key] || attempt.TimeoutMS <= 0 {
			return false
		}
		seen[key] = true
	}
	return true
}

// indexConfigurations combines the requests that sent the same configuration, and sorts the configurations by version.
func (c *checker) indexConfigurations() {
	for i := range c.OperatorRequests {
		request := &c.OperatorRequests[i]
		if request.Method != http.MethodPut {
			continue
		}
		change := c.findOrAddConfiguration(request)
		switch {
		case succeeded(request.Status):
			change.acknowledgedAt = earlierOf(change.acknowledgedAt, request.AnsweredAt)
			change.rejected = false
		case definiteRejection(request.Status):
			change.rejected = change.acknowledgedAt.IsZero()
		}
	}
	slices.SortStableFunc(c.configurations, func(a, b *configuration) int { return int(a.Version - b.Version) })
}

// definiteRejection reports whether a status means that a configuration was rejected and is not worth sending again.
func definiteRejection(status int) bool {
	return status >= 400 && status < 500 && status != statusRequestTimeout && status != statusTooManyRequests
}

func (c *checker) findOrAddConfiguration(request *OperatorRequest) *configuration {
	for _, change := range c.configurations {
		if change.builtOn == request.BuiltOn && bytes.Equal(change.body, request.Body) {
			change.sentAt = earlierOf(change.sentAt, request.SentAt)
			return change
		}
	}
	change := parseConfiguration(request.Body, request.BuiltOn)
	change.sentAt = request.SentAt
	c.configurations = append(c.configurations, change)
	return change
}

// mayBeActive reports whether the configuration may be active.
func (c *configuration) mayBeActive() bool { return c.valid && !c.rejected }

// checkOperatorRequests checks the answers to operators.
func (c *checker) checkOperatorRequests() {
	for i, change := range c.configurations {
		if change.acknowledgedAt.IsZero() {
			continue
		}
		if !change.valid {
			c.report(Config, versionName(change), change.acknowledgedAt, "an invalid configuration was acknowledged")
		}
		for _, other := range c.configurations[i+1:] {
			if !other.acknowledgedAt.IsZero() && other.builtOn == change.builtOn {
				c.report(Config, versionName(other), other.acknowledgedAt, "two changes on top of the same version were acknowledged")
			}
		}
	}
	for i := range c.OperatorRequests {
		if c.OperatorRequests[i].Method == http.MethodPut {
			c.checkRetriedConfiguration(&c.OperatorRequests[i])
		} else {
			c.checkReadBack(&c.OperatorRequests[i])
		}
	}
}

// checkRetriedConfiguration checks that an acknowledged configuration is not rejected when it is sent again, unless a newer
// one may have replaced it.
func (c *checker) checkRetriedConfiguration(request *OperatorRequest) {
	change := c.findOrAddConfiguration(request)
	if change.acknowledgedAt.IsZero() || !definiteRejection(request.Status) || request.SentAt.Before(change.acknowledgedAt) {
		return
	}
	for _, other := range c.configurations {
		if other.Version > change.Version && other.sentAt.Before(request.AnsweredAt) {
			return
		}
	}
	c.report(Config, versionName(change), request.AnsweredAt, "an acknowledged change was refused when sent again")
}

// checkReadBack checks that a configuration read by an operator was sent, and is at least as new as all acknowledged before.
func (c *checker) checkReadBack(request *OperatorRequest) {
	newest := c.newestAcknowledgedBefore(request.SentAt)
	if request.Status == statusNotFound && newest != nil {
		c.report(Lost, versionName(newest), request.AnsweredAt, "the acknowledged configuration was not found")
	}
	if request.Status != statusOK {
		return
	}
	read := parseConfiguration(request.Answer, -1)
	if newest != nil && read.Version < newest.Version {
		c.report(Lost, versionName(newest), request.AnsweredAt, "an older configuration was read back")
		return
	}
	for _, change := range c.configurations {
		if change.Version == read.Version && change.mayBeActive() && sameJSON(change.body, request.Answer) {
			return
		}
	}
	c.report(Config, versionName(read), request.AnsweredAt, "the configuration that was read back differs from the one sent with this version")
}

// newestAcknowledgedBefore returns the newest valid configuration that was acknowledged before an instant, or nil.
func (c *checker) newestAcknowledgedBefore(at time.Time) *configuration {
	var newest *configuration
	for _, change := range c.configurations {
		if change.valid && !change.acknowledgedAt.IsZero() && change.acknowledgedAt.Before(at) {
			newest = change
		}
	}
	return newest
}

func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return bytes.Equal(a, b)
	}
	first, _ := json.Marshal(x)
	second, _ := json.Marshal(y)
	return bytes.Equal(first, second)
}
