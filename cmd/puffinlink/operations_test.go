package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOperationCommandLinesReturnExitCodeAndMessage(t *testing.T) {
	t.Setenv(controlAddressVariable, "")
	os.Unsetenv(controlAddressVariable)
	cases := []struct {
		args       string
		code       int
		wantOutput string
	}{
		{"status --help", 0, "Example: puffinlink status --at"},
		{"jobs -h", 0, "--limit"},
		{"status", exitUsage, "the required flag `--at' was not specified"},
		{"job --at 127.0.0.1:1", exitUsage, "ID"},
		{"status extra --at 127.0.0.1:1", exitUsage, "unexpected argument extra"},
		{"jobs --state odd --at 127.0.0.1:1", exitUsage, "--state"},
		{"status --at 127.0.0.1:1 --timeout 10ms", exitUnreachable, "nothing was done"},
		{"apply /no/such/file --at 127.0.0.1:1", exitFailed, "no such file"},
		{"check-settings /no/such/file", exitFailed, "no such file"},
		{"check-settings", exitUsage, "FILE"},
	}
	for _, c := range cases {
		Convey(c.args+" returns the exit code and prints the message", t, func() {
			code, out := runForTest(t, strings.Fields(c.args)...)
			So(code, ShouldEqual, c.code)
			So(strings.Join(strings.Fields(out), " "), ShouldContainSubstring, c.wantOutput)
		})
	}
	Convey("The environment variable provides the addresses", t, func() {
		t.Setenv(controlAddressVariable, "127.0.0.1:1,127.0.0.1:2")
		code, out := runForTest(t, "status", "--timeout", "10ms")
		So(code, ShouldEqual, exitUnreachable)
		So(out, ShouldContainSubstring, "127.0.0.1:2: ")
	})
}

func TestCheckSettingsReportsInvalidKeys(t *testing.T) {
	Convey("A valid file is accepted, and the error of an invalid file names the key and the expected value", t, func() {
		path := filepath.Join(t.TempDir(), "local.conf")
		good := "nodeName=core-1\nmachineClass=core\nserves=control\nipAddress=10.1.0.12\ninternalPortRange=7660,7675\n"
		So(os.WriteFile(path, []byte(good), 0o600), ShouldBeNil)
		code, out := runForTest(t, "check-settings", path)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "good; node core-1, class core, serves [control]")
		So(os.WriteFile(path, []byte("nodeName=n\nipAddress=here\nbounds.contactMs=soon\n"), 0o600), ShouldBeNil)
		code, out = runForTest(t, "check-settings", path)
		So(code, ShouldEqual, exitFailed)
		So(out, ShouldContainSubstring, "bounds.contactMs=soon: want a number")
	})
}

// fakeControlServer serves a node's control address: it returns a configuration, and one fixed response for all other requests.
type fakeControlServer struct {
	version       int
	configuration string
	status        int    // status of the fixed response; 200 if 0
	response      string // body of the fixed response
	requests      []string
}

func (c *fakeControlServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/configuration" && r.Method == http.MethodGet {
		if c.version == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprint(c.version)))
		io.WriteString(w, c.configuration)
		return
	}
	c.requests = append(c.requests, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("If-Match"))
	if c.status != 0 {
		w.WriteHeader(c.status)
	}
	io.WriteString(w, c.response)
}

// serve starts the server, which runs until the Convey scope ends, and returns its address.
func (c *fakeControlServer) serve() string {
	server := httptest.NewServer(c)
	Reset(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestApplySendsTheBaseVersionAndReportsRefusals(t *testing.T) {
	Convey("Given a configuration file and a node", t, func() {
		path := filepath.Join(t.TempDir(), "configuration.json")
		So(os.WriteFile(path, []byte(testConfigurationText), 0o600), ShouldBeNil)
		server := &fakeControlServer{version: 5, configuration: "another"}
		address := server.serve()

		Convey("the request is based on the version in force", func() {
			code, out := runForTest(t, "apply", path, "--at", address)
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, "version 7 is in force; it was built on version 5")
			So(server.requests, ShouldResemble, []string{"PUT /-/configuration 5"})
		})
		Convey("the request is based on version 0 if there is none, or on --if-match", func() {
			server.version = 0
			runForTest(t, "apply", path, "--at", address)
			runForTest(t, "apply", path, "--at", address, "--if-match", "3")
			So(server.requests, ShouldResemble, []string{"PUT /-/configuration 0", "PUT /-/configuration 3"})
		})
		Convey("a configuration that is already in force is not sent", func() {
			server.configuration = testConfigurationText
			code, out := runForTest(t, "apply", path, "--at", address, "--json")
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, `{"version":7,"builtOn":"5","changed":false}`)
			So(server.requests, ShouldBeEmpty)
		})
		Convey("a conflict is reported with the current version", func() {
			server.status, server.response = http.StatusPreconditionFailed, `{"error":"version 9 is current; read it"}`
			code, out := runForTest(t, "apply", path, "--at", address)
			So(code, ShouldEqual, exitConflict)
			So(out, ShouldContainSubstring, "conflict: it was built on version 5: version 9 is current")
		})
		Convey("a refusal is reported", func() {
			server.status, server.response = http.StatusBadRequest, `{"error":"invalid configuration: version: is too low"}`
			code, out := runForTest(t, "apply", path, "--at", address)
			So(code, ShouldEqual, exitRefused)
			So(out, ShouldContainSubstring, "version: is too low")
		})
		Convey("an invalid configuration is not sent, and the error names the key and the remedy", func() {
			bad := strings.Replace(testConfigurationText, `"timeoutMs":3000`, `"timeoutMs":0`, 1)
			So(os.WriteFile(path, []byte(bad), 0o600), ShouldBeNil)
			code, out := runForTest(t, "apply", path, "--at", address)
			So(code, ShouldEqual, exitFailed)
			So(out, ShouldContainSubstring, "routes[0].timeoutMs: is 0; set it above 0")
			So(server.requests, ShouldBeEmpty)
		})
	})
}

func TestOperationsSendRequestsAndPrintResponses(t *testing.T) {
	cases := []struct{ args, wantRequests, response, wantOutput string }{
		{"searchers --service a", "GET /-/searchers?service=a ", `{"searchers":[{"id":"i-1","service":"a","state":"resting","window":4,"latencyMs":12.4}]}`, "i-1 a resting"},
		{"workers --service a", "GET /-/searchers?service=a ", `{"searchers":[{"id":"i-1","service":"a","state":"resting","window":4,"latencyMs":12.4}]}`, "i-1 a resting"},
		{"jobs --state queued --limit 5", "GET /-/jobs?limit=5&state=queued ", `{"jobs":[{"id":"00000000000000aa","state":"queued","tasks":{"waiting":3}}],"total":9}`, "1 of 9"},
		{"job 00000000000000aa", "GET /-/jobs/00000000000000aa ", `{"id":"00000000000000aa","state":"failed","service":"a"}`, "job 00000000000000aa of service a: failed"},
		{"why 00000000000000aa", "GET /-/jobs/00000000000000aa/why ", `{"id":"00000000000000aa","state":"queued","waiting":[{"tasks":2,"reason":"noSearcher","ruledOut":[{"cause":"label","count":9,"searchers":["i-1"]}]}]}`, "9 lack the label (label): i-1 ..."},
		{"drain i/1", "GET /-/searchers ;POST /-/searchers/i%2F1/drain \"4\"", `{"id":"i/1","runs":2,"searchers":[{"id":"i/2","drainVersion":9},{"id":"i/1","drainVersion":4}]}`, "searcher i/1 gets no new starts"},
		{"undrain i-1 --service a", "GET /-/searchers?service=a ;DELETE /-/searchers/i-1/drain?service=a ", `{"id":"i-1","state":"ready"}`, "gets starts again; it is ready"},
		{"cancel 00000000000000aa", "DELETE /-/jobs/00000000000000aa ", `{"id":"00000000000000aa","service":"a"}`, "of service a is cancelled"},
		{"status", "GET /-/status ", `{"mixer":{"name":"core-1"},"groups":[{"service":"a","error":"no leader is known at the moment"}]}`, "no leader is known"},
	}
	for _, c := range cases {
		Convey("puffinlink "+c.args+" sends the request and prints the response", t, func() {
			server := &fakeControlServer{response: c.response}
			address := server.serve()
			code, out := runForTest(t, append(strings.Fields(c.args), "--at", address)...)
			So(code, ShouldEqual, 0)
			So(strings.Join(strings.Fields(out), " "), ShouldContainSubstring, c.wantOutput)
			So(server.requests, ShouldResemble, strings.Split(c.wantRequests, ";"))
			code, out = runForTest(t, append(strings.Fields(c.args), "--json", "--at", address)...)
			So(code, ShouldEqual, 0)
			So(strings.Join(strings.Fields(out), ""), ShouldEqual, strings.Join(strings.Fields(c.response), ""))
		})
	}
	Convey("The status shows the state of the node as a replica", t, func() {
		for response, wantOutput := range map[string]string{
			`{"mixer":{"address":"a:1"},"rebuilt":true,"view":{"version":1,"members":["a:1"]}}`:  "its disk is complete",
			`{"mixer":{"address":"a:1"},"rebuilt":false,"view":{"version":1,"members":["a:1"]}}`: "its disk is being rebuilt",
			`{"mixer":{"address":"a:1"},"rebuilt":false,"view":{"version":2,"members":["b:1"]}}`: "stands by as no member of the view",
			`{"mixer":{"address":"a:1"},"rebuilt":true,"view":{}}`:                               "its disk is complete",
		} {
			server := &fakeControlServer{response: response}
			_, out := runForTest(t, "status", "--at", server.serve())
			So(out, ShouldContainSubstring, wantOutput)
		}
	})
	Convey("The exit codes distinguish refusals from conflicts", t, func() {
		for status, code := range map[int]int{404: exitRefused, 400: exitRefused, 409: exitConflict} {
			server := &fakeControlServer{status: status, response: `{"error":"no"}`}
			got, out := runForTest(t, "cancel", "00000000000000aa", "--at", server.serve())
			So(got, ShouldEqual, code)
			So(out, ShouldContainSubstring, "puffinlink cancel: no")
		}
	})
	Convey("A response that is not JSON is reported", t, func() {
		server := &fakeControlServer{response: "<html>"}
		code, out := runForTest(t, "status", "--at", server.serve())
		So(code, ShouldEqual, exitFailed)
		So(out, ShouldContainSubstring, "cannot be read")
	})
}
