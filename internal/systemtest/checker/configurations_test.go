package checker

import (
	"strings"
	"testing"
)

// withSecondConfiguration adds the second configuration, which is sent and accepted 20 s after the start.
func withSecondConfiguration(h *History) {
	h.OperatorRequests = append(h.OperatorRequests, putRequest(secondText, 3, 20, 200), readRequest(secondText, 20.5, 200))
}

func TestViolationsOfConfigurationRulesAreReported(t *testing.T) {
	with := func(add func(*History)) func(*History) {
		return func(h *History) { withSecondConfiguration(h); add(h) }
	}
	operatorRequests := func(operatorRequests ...OperatorRequest) func(*History) {
		return with(func(h *History) { h.OperatorRequests = append(h.OperatorRequests, operatorRequests...) })
	}
	clientRequests := func(clientRequests ...Request) func(*History) {
		return with(func(h *History) { h.Requests = append(h.Requests, clientRequests...) })
	}
	restarted := func(request Request) Request { request.Incarnation++; return request }
	runHistoryCases(t, []historyCase{
		{"A change of the configuration violates no rule", withSecondConfiguration, ""},
		{"A new route applied", clientRequests(routeRequest(newPrefix, 20.05, 404), routeRequest(newPrefix, 23, 200), routeRequest(oldPrefix, 23, 404)), ""},
		{"A new route not applied in time", clientRequests(routeRequest(newPrefix, 22.5, 404)), Config},
		{"A dropped route served too long", clientRequests(routeRequest(oldPrefix, 22.5, 200)), Config},
		{"A new route not applied in time by a machine out of contact", with(func(h *History) {
			h.Requests = append(h.Requests, routeRequest(newPrefix, 22.5, 404))
			h.Faults = []Fault{{Machine: "front-1", From: at(10), To: at(20)}}
		}), ""},
		{"A new route not applied in time while the core is unstable", with(func(h *History) {
			h.Requests = append(h.Requests, routeRequest(newPrefix, 22.5, 404))
			h.Faults = []Fault{{Machine: "core-3", From: at(20)}}
		}), ""},
		{"A new route not applied long after a core machine failed", with(func(h *History) {
			h.Requests = append(h.Requests, routeRequest(newPrefix, 25, 404))
			h.Faults = []Fault{{Machine: "core-3", From: at(20)}}
		}), Config},
		{"A machine goes back to an older configuration", clientRequests(routeRequest(newPrefix, 20.2, 200), routeRequest(newPrefix, 21, 404)), Config},
		{"A machine goes back to an older configuration after a restart", clientRequests(routeRequest(newPrefix, 20.2, 200), restarted(routeRequest(newPrefix, 21, 404))), ""},
		{"An acknowledged configuration rejected when sent again", operatorRequests(putRequest(secondText, 3, 22, 412)), Config},
		{"An acknowledged configuration rejected after the next one", operatorRequests(putRequest(competingText, 5, 22, 200), putRequest(secondText, 3, 23, 412), readRequest(competingText, 30, 200)), ""},
		{"An acknowledged configuration without a definite answer when sent again", operatorRequests(putRequest(secondText, 3, 22, 503)), ""},
		{"Two configurations accepted on top of the same version", operatorRequests(putRequest(competingText, 3, 21, 200), readRequest(competingText, 30, 200)), Config},
		{"One of two configurations accepted on top of the same version", operatorRequests(putRequest(competingText, 3, 21, 412)), ""},
		{"A rejected configuration is active", with(func(h *History) {
			h.OperatorRequests = append(h.OperatorRequests, putRequest(competingText, 3, 21, 412))
			h.Requests = append(h.Requests, routeRequest("/rival/", 23, 200))
		}), Config},
		{"An invalid configuration is active", with(func(h *History) {
			h.OperatorRequests = append(h.OperatorRequests, putRequest(invalidText, 5, 21, 0))
			h.Requests = append(h.Requests, routeRequest("/bad/", 23, 200))
		}), Config},
		{"An invalid configuration acknowledged", operatorRequests(putRequest(invalidText, 5, 21, 200)), Config},
		{"An old version acknowledged", operatorRequests(putRequest(strings.Replace(secondText, `"version":5`, `"version":4`, 1), 5, 21, 200)), Config},
		{"A configuration without a definite answer is active", with(func(h *History) {
			h.OperatorRequests = append(h.OperatorRequests, putRequest(competingText, 5, 21, 0), readRequest(competingText, 30, 200))
			h.Requests = append(h.Requests, routeRequest("/rival/", 23, 200))
		}), ""},
		{"An older configuration read back", operatorRequests(readRequest(firstText, 30, 200)), Lost},
		{"No configuration read back", operatorRequests(readRequest("", 30, 404)), Lost},
		{"Another configuration under the same number", operatorRequests(readRequest(strings.Replace(secondText, "added", "other", 1), 30, 200)), Config},
		{"A route not found that every configuration has", clientRequests(routeRequest(prefix, 25, 404)), Config},
	})
}
