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

// configuration is one that an operator sent.
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
	rejected       bool      // a clear refusal, and no acknowledgement
}

// match finds the route of a path: the longest prefix.
func (c *configuration) match(host, path string) (route, bool) {
	var best route
	found := false
	for _, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) && (!found || len(r.PathPrefix) > len(best.PathPrefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// parseConfiguration reads a body and reports whether it is valid on top of a version.
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
	type place struct{ host, prefix string }
	seen := map[place]bool{}
	for _, r := range c.Routes {
		at := place{r.Host, r.PathPrefix}
		if !services[r.Service] || seen[at] || r.TimeoutMS <= 0 {
			return false
		}
		seen[at] = true
	}
	return true
}

// indexChanges gathers the tries of each change.
func (c *checker) indexChanges() {
	for i := range c.OperatorRequests {
		request := &c.OperatorRequests[i]
		if request.Method != http.MethodPut {
			continue
		}
		change := c.findOrAddChange(request)
		switch {
		case success(request.Status):
			change.acknowledgedAt = earlier(change.acknowledgedAt, request.AnsweredAt)
			change.rejected = false
		case definiteRefusal(request.Status):
			change.rejected = change.acknowledgedAt.IsZero()
		}
	}
	slices.SortStableFunc(c.changes, func(a, b *configuration) int { return int(a.Version - b.Version) })
}

// definiteRefusal reports whether a status says that a change was refused, and not that it may be sent again.
func definiteRefusal(status int) bool {
	return status >= 400 && status < 500 && status != statusRequestTimeout && status != statusTooMany
}

func (c *checker) findOrAddChange(request *OperatorRequest) *configuration {
	for _, change := range c.changes {
		if change.builtOn == request.BuiltOn && bytes.Equal(change.body, request.Body) {
			change.sentAt = earlier(change.sentAt, request.SentAt)
			return change
		}
	}
	change := parseConfiguration(request.Body, request.BuiltOn)
	change.sentAt = request.SentAt
	c.changes = append(c.changes, change)
	return change
}

// mayBeActive reports whether a change may be in force.
func (c *configuration) mayBeActive() bool { return c.valid && !c.rejected }

// checkOperatorRequests checks the answers that operators got.
func (c *checker) checkOperatorRequests() {
	for i, change := range c.changes {
		if change.acknowledgedAt.IsZero() {
			continue
		}
		if !change.valid {
			c.report(Config, version(change), change.acknowledgedAt, "an invalid configuration was acknowledged")
		}
		for _, rival := range c.changes[i+1:] {
			if !rival.acknowledgedAt.IsZero() && rival.builtOn == change.builtOn {
				c.report(Config, version(rival), rival.acknowledgedAt, "two changes on top of the same version were acknowledged")
			}
		}
	}
	for i := range c.OperatorRequests {
		if c.OperatorRequests[i].Method == http.MethodPut {
			c.checkRetriedChange(&c.OperatorRequests[i])
		} else {
			c.checkReadBack(&c.OperatorRequests[i])
		}
	}
}

// checkRetriedChange looks for the refusal of a change that was acknowledged and is the newest.
func (c *checker) checkRetriedChange(request *OperatorRequest) {
	change := c.findOrAddChange(request)
	if change.acknowledgedAt.IsZero() || !definiteRefusal(request.Status) || request.SentAt.Before(change.acknowledgedAt) {
		return
	}
	for _, other := range c.changes {
		if other.Version > change.Version && other.sentAt.Before(request.AnsweredAt) {
			return
		}
	}
	c.report(Config, version(change), request.AnsweredAt, "an acknowledged change was refused when sent again")
}

// checkReadBack compares a configuration that was read with what had been acknowledged before.
func (c *checker) checkReadBack(request *OperatorRequest) {
	newest := c.newestAcknowledgedBefore(request.SentAt)
	if request.Status == statusNotFound && newest != nil {
		c.report(Lost, version(newest), request.AnsweredAt, "the acknowledged configuration is not there")
	}
	if request.Status != statusOK {
		return
	}
	read := parseConfiguration(request.Answer, -1)
	if newest != nil && read.Version < newest.Version {
		c.report(Lost, version(newest), request.AnsweredAt, "an older configuration was read back")
		return
	}
	for _, change := range c.changes {
		if change.Version == read.Version && change.mayBeActive() && sameJSON(change.body, request.Answer) {
			return
		}
	}
	c.report(Config, version(read), request.AnsweredAt, "a configuration was read back that is not what was sent under its number")
}

// newestAcknowledgedBefore is the newest version acknowledged before a moment; nil without one.
func (c *checker) newestAcknowledgedBefore(at time.Time) *configuration {
	var newest *configuration
	for _, change := range c.changes {
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
