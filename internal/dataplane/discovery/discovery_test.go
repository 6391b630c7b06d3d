package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/eventqueue/queuetest"
	"puffinlink.example/puffinlink/policy"
)

const waitTimeout = queuetest.WaitTimeout

// fixture is a client and a registry that the test plays. Each request of the client arrives in requests.
type fixture struct {
	*testing.T
	*Client
	events   *queuetest.Receiver[aggregator.Event]
	requests chan listRequest
	address  string // of the registry
}

// listRequest is a request for the list, with functions that write to its response and end it.
type listRequest struct {
	url    string
	write  func(text string)
	end    context.CancelFunc
	closed <-chan struct{}
}

// listLine returns a list in the registry's JSON.
func listLine(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`+"\n", version, complete, strings.Join(entries, ","))
}

// backend returns a backend in the registry's JSON.
func backend(id, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"h-%s:1","zone":"b","machineType":"m","cell":3,"lifecycle":%q,"weight":2,"startedAtMs":1500}`,
		id, id, state)
}

func newFixture(t *testing.T, listOnRequest bool, adjust func(*Client)) *fixture {
	r := &fixture{T: t, events: queuetest.New[aggregator.Event](), requests: make(chan listRequest, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx, end := context.WithCancel(req.Context())
		out := make(chan string, 10)
		r.requests <- listRequest{req.URL.String(), func(text string) { out <- text }, end, req.Context().Done()}
		for {
			select {
			case text := <-out:
				fmt.Fprint(w, text)
				w.(http.Flusher).Flush()
			case <-ctx.Done():
				return
			}
		}
	}))
	aggregatorSettings := settings.Settings{Net: settings.Net{Locations: []string{"a", "b"}}}
	aggregatorSettings.ListOnRequest = listOnRequest
	var err error
	r.address = strings.TrimPrefix(server.URL, "http://")
	r.Client, err = New(r.address, []byte(listLine(41, true, backend("s1", "SERVING"))), aggregatorSettings,
		r.events.Queue, zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	if adjust != nil {
		adjust(r.Client)
	}
	go r.Client.Run()
	t.Cleanup(func() { r.Stop(); server.CloseClientConnections(); server.Close() })
	r.expect(policy.ListStale, "s1:0")
	return r
}

// expectRequest waits for the next request, which has to be for this URL.
func (r *fixture) expectRequest(url string) listRequest {
	r.Helper()
	select {
	case request := <-r.requests:
		if request.url != url {
			r.Fatalf("got request %q, expected %q", request.url, url)
		}
		return request
	case <-time.After(waitTimeout):
		r.Fatal("got no request")
	}
	return listRequest{}
}

// expect waits for a list event with these backends and phases.
func (r *fixture) expect(kind policy.ListKind, entries ...string) aggregator.Event {
	r.Helper()
	e := r.events.Next(r.T)
	var got []string
	for i, listed := range e.Entries {
		name := strings.TrimSuffix(strings.TrimPrefix(e.Addresses[i], "h-"), ":1")
		got = append(got, fmt.Sprintf("%s:%d", name, listed.Phase))
	}
	if e.Kind != policy.ListChanged || e.List != kind || fmt.Sprint(got) != fmt.Sprint(entries) {
		r.Fatalf("got list kind %d with %v, expected %d with %v", e.List, got, kind, entries)
	}
	return e
}

func TestChangesKeepTheirOrderAndTheWatchResumesAtTheLastVersion(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.write("\n" + listLine(43, false, backend("s2", "DRAINING")) + listLine(44, false, backend("s2", "DELETED")))
	e := r.expect(policy.ListPatch, "s2:1")
	if listed := e.Entries[0]; listed.Backend != 2 || listed.Location != 1 || listed.Cell != 3 || listed.Share != 2 || listed.StartedAt != 1.5 {
		t.Fatalf("got %+v", listed)
	}
	r.expect(policy.ListPatch, "s2:2")
	w.end()
	w = r.expectRequest("/discovery/hosts?stream=1&index=44")
	w.write(listLine(50, true, backend("s3", "SERVING"), backend("s1", "SERVING")))
	if e = r.expect(policy.ListComplete, "s3:0", "s1:0"); e.Entries[1].Backend != 1 {
		t.Fatalf("s1 is now backend %d, expected 1", e.Entries[1].Backend)
	}
}

// A name that is listed again after its removal is a new backend. Nothing is kept of removed backends.
func TestRemovedBackendIsForgottenAndItsNameGetsANewNumber(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.write(listLine(42, false, backend("s2", "SERVING"), backend("s7", "DELETED")) + listLine(43, false, backend("s2", "DELETED")) +
		listLine(44, false, backend("s2", "SERVING")))
	r.expect(policy.ListPatch, "s2:0")
	if e := r.expect(policy.ListPatch, "s2:2"); e.Entries[0].Backend != 2 {
		t.Fatalf("s2 was removed as backend %d, expected 2", e.Entries[0].Backend)
	}
	if e := r.expect(policy.ListPatch, "s2:0"); e.Entries[0].Backend != 3 {
		t.Fatalf("the new s2 is backend %d, expected 3", e.Entries[0].Backend)
	}
	w.write(listLine(45, true, backend("s4", "SERVING")) + listLine(46, true, backend("s1", "SERVING")))
	r.expect(policy.ListComplete, "s4:0")
	if e := r.expect(policy.ListComplete, "s1:0"); e.Entries[0].Backend != 5 || len(r.backendIDs) != 1 {
		t.Fatalf("the new s1 is backend %d of %v, expected 5", e.Entries[0].Backend, r.backendIDs)
	}
}

// At a new address the watch resumes at the last version. The watch at the old address is closed.
func TestWatchContinuesAtTheNewRegistryAddress(t *testing.T) {
	r, other := newFixture(t, false, nil), newFixture(t, false, nil)
	other.expectRequest("/discovery/hosts?stream=1&index=41").end()
	old := r.expectRequest("/discovery/hosts?stream=1&index=41")
	old.write(listLine(47, false, backend("s2", "SERVING")))
	r.expect(policy.ListPatch, "s2:0")
	for _, address := range []string{"nowhere", "127.0.0.1:none", ""} {
		if r.MoveTo(address) == nil {
			t.Fatalf("%q was accepted as an address", address)
		}
	}
	if err := r.MoveTo(other.address); err != nil {
		t.Fatal(err)
	}
	var w listRequest
	for w.url != "/discovery/hosts?stream=1&index=47" { // skips the watches of the other fixture's own client
		w = <-other.requests
	}
	select {
	case <-old.closed:
	case <-time.After(waitTimeout):
		t.Fatal("the old watch is still open")
	}
	w.write(listLine(48, false, backend("s2", "DRAINING")))
	r.expect(policy.ListPatch, "s2:1")
}

func TestUnknownStateEndsTheWatchWithoutAListChange(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.write(listLine(42, false, backend("s1", "DELETED"), backend("s4", "ASLEEP")) + listLine(43, false, backend("s5", "SERVING")))
	w2 := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w2.write(listLine(43, false, backend("s6", "SERVING")) + listLine(44, false, backend("s1", "DRAINING")))
	r.expect(policy.ListPatch, "s6:0")
	if e := r.expect(policy.ListPatch, "s1:1"); e.Entries[0].Backend != 1 { // its removal in the invalid list was not applied
		t.Fatalf("s1 is now backend %d, expected 1", e.Entries[0].Backend)
	}
	select {
	case <-w.closed:
	case <-time.After(waitTimeout):
		t.Fatal("the failed watch is still open")
	}
}

// An invalid weight counts as a missing one. Rejecting the list for it would lose the drains that the list contains.
func TestListWithAnInvalidWeightIsApplied(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.write(listLine(42, false, strings.Replace(backend("s4", "SERVING"), `"weight":2`, `"weight":0`, 1), backend("s1", "DRAINING")))
	if e := r.expect(policy.ListPatch, "s4:0", "s1:1"); e.Entries[0].Share != 1 || e.Entries[1].Share != 2 {
		t.Fatalf("got shares %v and %v, expected 1 and 2", e.Entries[0].Share, e.Entries[1].Share)
	}
}

func TestWatchWithoutHeartbeatsIsRenewed(t *testing.T) {
	r := newFixture(t, false, func(r *Client) { r.watchTimeout = 600 * time.Millisecond })
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	for range 8 { // heartbeats keep the watch alive
		time.Sleep(100 * time.Millisecond)
		w.write("\n")
	}
	if len(r.requests) > 0 {
		t.Fatal("a watch with heartbeats was replaced")
	}
	r.expectRequest("/discovery/hosts?stream=1&index=41").write(listLine(42, false, backend("s2", "SERVING")))
	r.expect(policy.ListPatch, "s2:0")
	w.write(listLine(42, false, backend("s9", "SERVING"))) // lines of the old watch are ignored
	r.expectRequest("/discovery/hosts?stream=1&index=42")
	if rest := r.events.Remaining(); len(rest) > 0 {
		t.Fatalf("got %+v", rest)
	}
}

// A list may be indented, over several lines. A truncated list ends the watch at the next heartbeat.
func TestIndentedListsAreReadAndTruncatedOnesEndTheWatch(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	indented := func(text string) string {
		var out bytes.Buffer
		if err := json.Indent(&out, []byte(text), "", "  "); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	w.write(indented(listLine(42, false, backend("s{2", "SERVING"))) + "\n\n" + listLine(43, false, backend("s3", "SERVING")))
	r.expect(policy.ListPatch, "s{2:0")
	r.expect(policy.ListPatch, "s3:0")
	complete := indented(listLine(44, true, backend("s3", "DRAINING")))
	w.write(complete[:len(complete)/2])
	w.write(complete[len(complete)/2:] + "\n")
	r.expect(policy.ListComplete, "s3:1")
	w.write(complete[:strings.LastIndex(complete, "}")] + "\n\n")
	r.expectRequest("/discovery/hosts?stream=1&index=44")
	if rest := r.events.Remaining(); len(rest) > 0 {
		t.Fatalf("got %+v", rest)
	}
}

// Changes that an unresponsive watch misses count as known after 6 s, and drains then have a grace period of 2 s. If the next watch
// is unresponsive too, a third one is established within that time. No backend is removed meanwhile.
func TestNewWatchWithoutHeartbeatsIsRenewedSooner(t *testing.T) {
	const scale = 50 // the test runs this many times faster
	r := newFixture(t, false, func(r *Client) { r.watchTimeout /= scale })
	r.expectRequest("/discovery/hosts?stream=1&index=41").write("\n")
	r.expectRequest("/discovery/hosts?stream=1&index=41")
	go func() { // answers the third watch and, on a busy machine, later ones
		for {
			select {
			case w := <-r.requests:
				w.write(listLine(42, false, backend("s1", "DRAINING")))
			case <-t.Context().Done():
				return
			}
		}
	}()
	r.expect(policy.ListPatch, "s1:1")
	for _, e := range r.events.Remaining() { // a repeated patch at most
		if e.List != policy.ListPatch {
			t.Fatalf("got %+v", e)
		}
	}
	// The unscaled time for two watches without heartbeats, with the longest random delays between watches.
	if total := time.Duration(missedHeartbeats*float64(heartbeatInterval))*3/2 + 2*minBackoff*3/2; total > 8*time.Second {
		t.Errorf("two watches without heartbeats take %s, expected at most 6 s and the drain grace period of 2 s", total)
	}
}

func TestListOnRequestIsRequestedByThePolicy(t *testing.T) {
	r := newFixture(t, true, nil)
	r.Subscribe(true)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.end()
	r.expect(policy.ListFailed)
	r.RequestCompleteList()
	w = r.expectRequest("/discovery/hosts")
	w.write(listLine(60, true, backend("s8", "SERVING")))
	w.end()
	r.expect(policy.ListComplete, "s8:0")
	r.RequestCompleteList()
	r.expectRequest("/discovery/hosts").end()
	r.expect(policy.ListFailed)
	r.Subscribe(true)
	r.expectRequest("/discovery/hosts?stream=1&index=60")
}

func FuzzLines(f *testing.F) {
	for _, s := range []string{listLine(1, true, backend("a", "SERVING"), backend("b", "DELETED")), `{"generation":1}`,
		`{"generation":2,"instances":[{"lifecycle":"SERVING"}]}`, `{"instances":[]}`, `null`, "{",
		`{"generation":3,"instances":[{"instanceId":"x","hostPort":"y","lifecycle":"DRAINING","cell":-1}]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		queue := eventqueue.New[aggregator.Event]()
		r := &Client{listener: queue, locations: map[string]int{}, machineKinds: map[string]int{},
			backendIDs: map[string]policy.BackendID{}, version: -7}
		err := r.applyList(text, false)
		events := queue.Take(nil)
		if err != nil {
			if len(events) > 0 || r.version != -7 {
				t.Fatalf("%q: got error %v and events %+v", text, err, events)
			}
			return
		}
		if len(events) != 1 || len(events[0].Entries) != len(events[0].Addresses) || len(events[0].Entries) != len(events[0].Names) {
			t.Fatalf("%q: got %+v", text, events)
		}
		for i, e := range events[0].Entries {
			if e.Backend == 0 || e.Cell < 0 || e.Phase != policy.Removed && events[0].Addresses[i] == "" {
				t.Fatalf("%q: got %+v", text, e)
			}
		}
	})
}
