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

func TestOperationCommandLines(t *testing.T) {
	t.Setenv(controlVariable, "")
	os.Unsetenv(controlVariable)
	cases := []struct {
		args string
		code int
		says string
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
		Convey(c.args+" says what it should", t, func() {
			code, out := runForTest(t, strings.Fields(c.args)...)
			So(code, ShouldEqual, c.code)
			So(strings.Join(strings.Fields(out), " "), ShouldContainSubstring, c.says)
		})
	}
	Convey("The address may come from the environment", t, func() {
		t.Setenv(controlVariable, "127.0.0.1:1,127.0.0.1:2")
		code, out := runForTest(t, "status", "--timeout", "10ms")
		So(code, ShouldEqual, exitUnreachable)
		So(out, ShouldContainSubstring, "127.0.0.1:2: ")
	})
}

func TestCheckSettings(t *testing.T) {
	Convey("A good file is called good, and in a bad one each key at fault is named with what it wants", t, func() {
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

// fakeControl plays a mixer: the configuration and one answer for all other paths.
type fakeControl struct {
	version int
	body    string
	status  int    // of all answers but those to reads of the configuration; 200 if 0
	text    string // of the same
	orders  []string
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/-/configuration" && r.Method == http.MethodGet {
		if c.version == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprint(c.version)))
		io.WriteString(w, c.body)
		return
	}
	c.orders = append(c.orders, r.Method+" "+r.URL.RequestURI()+" "+r.Header.Get("If-Match"))
	if c.status != 0 {
		w.WriteHeader(c.status)
	}
	io.WriteString(w, c.text)
}

// serve serves the stub until the Convey scope ends, and returns its address.
func (c *fakeControl) serve() string {
	server := httptest.NewServer(c)
	Reset(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestApply(t *testing.T) {
	Convey("Given a configuration's file and a mixer", t, func() {
		path := filepath.Join(t.TempDir(), "configuration.json")
		So(os.WriteFile(path, []byte(testConfigurationText), 0o600), ShouldBeNil)
		stub := &fakeControl{version: 5, body: "another"}
		at := stub.serve()

		Convey("it builds on the version in force", func() {
			code, out := runForTest(t, "apply", path, "--at", at)
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, "version 7 is in force; it was built on version 5")
			So(stub.orders, ShouldResemble, []string{"PUT /-/configuration 5"})
		})
		Convey("or on none, or on the one that is named", func() {
			stub.version = 0
			runForTest(t, "apply", path, "--at", at)
			runForTest(t, "apply", path, "--at", at, "--if-match", "3")
			So(stub.orders, ShouldResemble, []string{"PUT /-/configuration 0", "PUT /-/configuration 3"})
		})
		Convey("the very same configuration is not sent again", func() {
			stub.body = testConfigurationText
			code, out := runForTest(t, "apply", path, "--at", at, "--json")
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, `{"version":7,"builtOn":"5","changed":false}`)
			So(stub.orders, ShouldBeEmpty)
		})
		Convey("a conflict is told with the version that is current", func() {
			stub.status, stub.text = http.StatusPreconditionFailed, `{"error":"version 9 is current; read it"}`
			code, out := runForTest(t, "apply", path, "--at", at)
			So(code, ShouldEqual, exitConflict)
			So(out, ShouldContainSubstring, "conflict: it was built on version 5: version 9 is current")
		})
		Convey("a refusal is told", func() {
			stub.status, stub.text = http.StatusBadRequest, `{"error":"invalid configuration: version: is too low"}`
			code, out := runForTest(t, "apply", path, "--at", at)
			So(code, ShouldEqual, exitRefused)
			So(out, ShouldContainSubstring, "version: is too low")
		})
		Convey("what is not valid is not sent; key and remedy are told", func() {
			bad := strings.Replace(testConfigurationText, `"timeoutMs":3000`, `"timeoutMs":0`, 1)
			So(os.WriteFile(path, []byte(bad), 0o600), ShouldBeNil)
			code, out := runForTest(t, "apply", path, "--at", at)
			So(code, ShouldEqual, exitFailed)
			So(out, ShouldContainSubstring, "routes[0].timeoutMs: is 0; set it above 0")
			So(stub.orders, ShouldBeEmpty)
		})
	})
}

func TestOperationsSendRequests(t *testing.T) {
	cases := []struct{ args, orders, answer, says string }{
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
		Convey("puffinlink "+c.args+" asks and prints", t, func() {
			stub := &fakeControl{text: c.answer}
			at := stub.serve()
			code, out := runForTest(t, append(strings.Fields(c.args), "--at", at)...)
			So(code, ShouldEqual, 0)
			So(strings.Join(strings.Fields(out), " "), ShouldContainSubstring, c.says)
			So(stub.orders, ShouldResemble, strings.Split(c.orders, ";"))
			code, out = runForTest(t, append(strings.Fields(c.args), "--json", "--at", at)...)
			So(code, ShouldEqual, 0)
			So(strings.Join(strings.Fields(out), ""), ShouldEqual, strings.Join(strings.Fields(c.answer), ""))
		})
	}
	Convey("The status tells the part that a mixer has among the replicas", t, func() {
		for answer, says := range map[string]string{
			`{"mixer":{"address":"a:1"},"rebuilt":true,"view":{"version":1,"members":["a:1"]}}`:  "its disk is complete",
			`{"mixer":{"address":"a:1"},"rebuilt":false,"view":{"version":1,"members":["a:1"]}}`: "its disk is being rebuilt",
			`{"mixer":{"address":"a:1"},"rebuilt":false,"view":{"version":2,"members":["b:1"]}}`: "stands by as no member of the view",
			`{"mixer":{"address":"a:1"},"rebuilt":true,"view":{}}`:                               "its disk is complete",
		} {
			stub := &fakeControl{text: answer}
			_, out := runForTest(t, "status", "--at", stub.serve())
			So(out, ShouldContainSubstring, says)
		}
	})
	Convey("Refusals have exit codes of their own", t, func() {
		for status, code := range map[int]int{404: exitRefused, 400: exitRefused, 409: exitConflict} {
			stub := &fakeControl{status: status, text: `{"error":"no"}`}
			got, out := runForTest(t, "cancel", "00000000000000aa", "--at", stub.serve())
			So(got, ShouldEqual, code)
			So(out, ShouldContainSubstring, "puffinlink cancel: no")
		}
	})
	Convey("An answer that is not one is told", t, func() {
		stub := &fakeControl{text: "<html>"}
		code, out := runForTest(t, "status", "--at", stub.serve())
		So(code, ShouldEqual, exitFailed)
		So(out, ShouldContainSubstring, "cannot be read")
	})
}
