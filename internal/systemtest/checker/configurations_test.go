package checker

import (
	"strings"
	"testing"
)

// withSecondConfiguration adds the second configuration, taken at 20 s.
func withSecondConfiguration(h *History) {
	h.OperatorRequests = append(h.OperatorRequests, putRequest(secondText, 3, 20, 200), readRequest(secondText, 20.5, 200))
}

func TestConfigurationRules(t *testing.T) {
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
	checkAll(t, []historyCase{
		{"A change breaks nothing", withSecondConfiguration, ""},
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
		{"A new route not applied while a core machine is long gone", with(func(h *History) {
			h.Requests = append(h.Requests, routeRequest(newPrefix, 25, 404))
			h.Faults = []Fault{{Machine: "core-3", From: at(20)}}
		}), Config},
		{"A machine that goes back", clientRequests(routeRequest(newPrefix, 20.2, 200), routeRequest(newPrefix, 21, 404)), Config},
		{"A machine that goes back after its restart", clientRequests(routeRequest(newPrefix, 20.2, 200), restarted(routeRequest(newPrefix, 21, 404))), ""},
		{"An acknowledged change refused when sent again", operatorRequests(putRequest(secondText, 3, 22, 412)), Config},
		{"An acknowledged change refused after the next one", operatorRequests(putRequest(rivalText, 5, 22, 200), putRequest(secondText, 3, 23, 412), readRequest(rivalText, 30, 200)), ""},
		{"An acknowledged change without a clear answer when sent again", operatorRequests(putRequest(secondText, 3, 22, 503)), ""},
		{"Two changes on top of the same version", operatorRequests(putRequest(rivalText, 3, 21, 200), readRequest(rivalText, 30, 200)), Config},
		{"One of two changes on top of the same version", operatorRequests(putRequest(rivalText, 3, 21, 412)), ""},
		{"A refused configuration in force", with(func(h *History) {
			h.OperatorRequests = append(h.OperatorRequests, putRequest(rivalText, 3, 21, 412))
			h.Requests = append(h.Requests, routeRequest("/rival/", 23, 200))
		}), Config},
		{"An invalid configuration in force", with(func(h *History) {
			h.OperatorRequests = append(h.OperatorRequests, putRequest(badText, 5, 21, 0))
			h.Requests = append(h.Requests, routeRequest("/bad/", 23, 200))
		}), Config},
		{"An invalid configuration acknowledged", operatorRequests(putRequest(badText, 5, 21, 200)), Config},
		{"An old version acknowledged", operatorRequests(putRequest(strings.Replace(secondText, `"version":5`, `"version":4`, 1), 5, 21, 200)), Config},
		{"An unclear change in force", with(func(h *History) {
			h.OperatorRequests = append(h.OperatorRequests, putRequest(rivalText, 5, 21, 0), readRequest(rivalText, 30, 200))
			h.Requests = append(h.Requests, routeRequest("/rival/", 23, 200))
		}), ""},
		{"An older configuration read back", operatorRequests(readRequest(firstText, 30, 200)), Lost},
		{"No configuration read back", operatorRequests(readRequest("", 30, 404)), Lost},
		{"Another configuration under the same number", operatorRequests(readRequest(strings.Replace(secondText, "added", "other", 1), 30, 200)), Config},
		{"A route refused that all have", clientRequests(routeRequest(prefix, 25, 404)), Config},
	})
}
