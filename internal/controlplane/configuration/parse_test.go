package configuration

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const exampleBody = `{"version":7,"note":{"unknown":[1]},"routes":[
	{"name":"r-1","host":"Prices.example","pathPrefix":"/nav/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"pricing","maxAttempts":3,"extension":2.2,"colour":"red"},
	{"name":"r-2","host":"prices.example","pathPrefix":"/nav/daily/","kind":"non_idempotent","timeoutMs":2500.5,"targetLatencyMs":250,"service":"stress","maxAttempts":4,"extension":4.0}],
	"services":[
	{"name":"pricing","healthCheckPath":"/health","maxConnections":64,"protocol":"h1","transportSecurity":false,"guards":true},
	{"name":"stress"}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// bodyOf returns a valid body. timeoutMS distinguishes bodies of the same version.
func bodyOf(version, timeoutMS int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":%d,"service":"s"}],"services":[{"name":"s"}]}`,
		version, timeoutMS)
}

func TestParseReadsAllFields(t *testing.T) {
	Convey("All fields are read, and unknown ones are ignored", t, func() {
		parsed, err := Parse([]byte(exampleBody))
		So(err, ShouldBeNil)
		So(parsed.Version, ShouldEqual, 7)
		So(parsed.Routes[0], ShouldResemble, Route{Name: "r-1", Host: "Prices.example", PathPrefix: "/nav/", Kind: "non_idempotent",
			TimeoutMS: 3000, TargetLatencyMS: 1000, Priority: 1, Service: "pricing", MaxAttempts: 3, Extension: 2.2})
		So(parsed.Routes[1].Timeout(), ShouldEqual, 2500500*time.Microsecond)
		So(parsed.Services[0], ShouldResemble, Service{Name: "pricing", HealthCheckPath: "/health", MaxConnections: 64, Protocol: "h1", EnforcesCapacity: true})
		So(parsed.Limits.IdleTimeout(), ShouldEqual, 15*time.Second)
	})
	Convey("A configuration without routes and services is valid", t, func() {
		_, err := Parse([]byte(`{"version":1,"routes":[],"services":[]}`))
		So(err, ShouldBeNil)
	})
}

func TestParseRejectsTruncatedBodies(t *testing.T) {
	Convey("No proper prefix of a valid body is valid", t, func() {
		for length := range exampleBody {
			if _, err := Parse([]byte(exampleBody[:length])); err == nil {
				So(exampleBody[:length], ShouldEqual, "rejected")
			}
		}
	})
}

func TestParseErrorsNameKeyAndRemedy(t *testing.T) {
	replaced := func(old, replacement string) string {
		if !strings.Contains(exampleBody, old) {
			t.Fatalf("the example lacks %s", old)
		}
		return strings.Replace(exampleBody, old, replacement, 1)
	}
	cases := []struct{ name, body, key, remedy string }{
		{"empty", ``, "body", "send one whole JSON object"},
		{"not an object", `[1]`, "body", "send one whole JSON object"},
		{"null", `null`, "version", "above 0"},
		{"trailing data", exampleBody + `{}`, "body", "send one whole"},
		{"repeated key", replaced(`"version":7`, `"version":7,"version":8`), "body", "send one whole"},
		{"version absent", replaced(`"version":7,`, ``), "version", "set it above 0"},
		{"version 0", replaced(`"version":7`, `"version":0`), "version", "set it above 0"},
		{"version negative", replaced(`"version":7`, `"version":-7`), "body", "send one whole"},
		{"version text", replaced(`"version":7`, `"version":"7"`), "body", "send one whole"},
		{"routes absent", `{"version":1,"services":[]}`, "routes", "set it"},
		{"services absent", `{"version":1,"routes":[]}`, "services", "set it"},
		{"routes not a list", `{"version":1,"routes":{},"services":[]}`, "body", "send one whole"},
		{"route null", `{"version":1,"routes":[null],"services":[]}`, "routes[0].name", "set it"},
		{"timeout 0", replaced(`"timeoutMs":3000`, `"timeoutMs":0`), "routes[0].timeoutMs", "is 0; set it above 0"},
		{"timeout absent", replaced(`"timeoutMs":3000,`, ``), "routes[0].timeoutMs", "set it above 0"},
		{"timeout negative", replaced(`"timeoutMs":3000`, `"timeoutMs":-1`), "routes[0].timeoutMs", "set it above 0"},
		{"timeout beyond bounds", replaced(`"timeoutMs":3000`, `"timeoutMs":1e300`), "routes[0].timeoutMs", "or less"},
		{"timeout text", replaced(`"timeoutMs":3000`, `"timeoutMs":"3000"`), "body", "send one whole"},
		{"unknown service", replaced(`"service":"stress"`, `"service":"strain"`), "routes[1].service", `unknown service "strain"; list it`},
		{"service absent", replaced(`"service":"stress",`, ``), "routes[1].service", "set it"},
		{"prefix without slash", replaced(`"pathPrefix":"/nav/"`, `"pathPrefix":"nav/"`), "routes[0].pathPrefix", "begin it with /"},
		{"same host and prefix", replaced(`/nav/daily/`, `/nav/`), "routes[1].pathPrefix", `route "r-1" has the same host and prefix`},
		{"same route name", replaced(`"name":"r-2"`, `"name":"r-1"`), "routes[1].name", "its own name"},
		{"same service name", replaced(`"name":"stress"`, `"name":"pricing"`), "services[1].name", "its own name"},
		{"negative priority", replaced(`"priority":1`, `"priority":-1`), "routes[0].priority", "0 or more"},
	}
	for _, c := range cases {
		Convey("Rejected: "+c.name, t, func() {
			_, err := Parse([]byte(c.body))
			var invalid *InvalidError
			So(errors.As(err, &invalid), ShouldBeTrue)
			So(invalid.Problems[0].Key, ShouldEqual, c.key)
			So(invalid.Problems[0].Remedy, ShouldContainSubstring, c.remedy)
			So(err.Error(), ShouldContainSubstring, c.key+": ")
		})
	}
	Convey("A body above the length limit is rejected before it is parsed", t, func() {
		_, err := Parse(make([]byte, MaxBodyBytes+1))
		So(err.Error(), ShouldContainSubstring, "send at most")
	})
	Convey("The list of problems is bounded", t, func() {
		body := `{"version":1,"services":[],"routes":[` + strings.Repeat(`{},`, 100) + `{}]}`
		_, err := Parse([]byte(body))
		var invalid *InvalidError
		So(errors.As(err, &invalid), ShouldBeTrue)
		So(len(invalid.Problems), ShouldEqual, maxProblems)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleBody))
	f.Add(bodyOf(1, 1000))
	f.Add([]byte(`{"version":1,"routes":[],"services":[]}`))
	f.Add([]byte(`{"version":18446744073709551615,"routes":null}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, err := Parse(body)
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 {
				t.Fatalf("the error %v lists no problem", err)
			}
			return
		}
		table := NewRoutingTable(parsed)
		for _, route := range parsed.Routes {
			found, remainder, ok := table.Match(route.Host, route.PathPrefix+"x")
			if !ok || len(remainder) > 1 || len(found.PathPrefix) < len(route.PathPrefix) {
				t.Fatalf("the route %+v is not found: %+v, %q, %v", route, found, remainder, ok)
			}
			if _, known := table.Service(route.Service); !known || route.Timeout() < 0 {
				t.Fatalf("the invalid route %+v was accepted", route)
			}
		}
	})
}
