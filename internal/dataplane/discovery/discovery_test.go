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

const patience = queuetest.WaitTimeout

// fixture is a register's actor and the registry it speaks with, which the test plays: each request comes as a
// function that writes a line to it.
type fixture struct {
	*testing.T
	*Client
	events *queuetest.Receiver[aggregator.Event]
	asks   chan listRequest
	server string // its address
}

type listRequest struct {
	query string
	write func(text string)
	end   context.CancelFunc
	gone  <-chan struct{}
}

func listLine(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`+"\n", version, complete, strings.Join(entries, ","))
}

func backend(id, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"h-%s:1","zone":"b","machineType":"m","cell":3,"lifecycle":%q,"weight":2,"startedAtMs":1500}`,
		id, id, state)
}

func newFixture(t *testing.T, asked bool, change func(*Client)) *fixture {
	r := &fixture{T: t, events: queuetest.New[aggregator.Event](), asks: make(chan listRequest, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		ctx, end := context.WithCancel(q.Context())
		out := make(chan string, 10)
		r.asks <- listRequest{q.URL.String(), func(text string) { out <- text }, end, q.Context().Done()}
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
	set := settings.Settings{Net: settings.Net{Locations: []string{"a", "b"}}}
	set.ListOnRequest = asked
	var err error
	r.server = strings.TrimPrefix(server.URL, "http://")
	r.Client, err = New(r.server, []byte(listLine(41, true, backend("s1", "SERVING"))), set,
		r.events.Queue, zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(r.Client)
	}
	go r.Client.Run()
	t.Cleanup(func() { r.Stop(); server.CloseClientConnections(); server.Close() })
	r.expect(policy.ListStale, "s1:0")
	return r
}

func (r *fixture) expectRequest(query string) listRequest {
	r.Helper()
	select {
	case a := <-r.asks:
		if a.query != query {
			r.Fatalf("asked %q, expected %q", a.query, query)
		}
		return a
	case <-time.After(patience):
		r.Fatal("nothing was asked")
	}
	return listRequest{}
}

// expect waits for a list event with these backends and phases.
func (r *fixture) expect(kind policy.ListKind, entries ...string) aggregator.Event {
	r.Helper()
	e := r.events.Next(r.T)
	var got []string
	for i, x := range e.Entries {
		name := strings.TrimSuffix(strings.TrimPrefix(e.Addresses[i], "h-"), ":1")
		got = append(got, fmt.Sprintf("%s:%d", name, x.Phase))
	}
	if e.Kind != policy.ListChanged || e.List != kind || fmt.Sprint(got) != fmt.Sprint(entries) {
		r.Fatalf("told kind %d of %v, expected %d of %v", e.List, got, kind, entries)
	}
	return e
}

func TestChangesAreOrderedAndTheWatchResumesAtItsVersion(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.write("\n" + listLine(43, false, backend("s2", "DRAINING")) + listLine(44, false, backend("s2", "DELETED")))
	e := r.expect(policy.ListPatch, "s2:1")
	if x := e.Entries[0]; x.Backend != 2 || x.Location != 1 || x.Cell != 3 || x.Share != 2 || x.StartedAt != 1.5 {
		t.Fatalf("got %+v", x)
	}
	r.expect(policy.ListPatch, "s2:2")
	w.end()
	w = r.expectRequest("/discovery/hosts?stream=1&index=44")
	w.write(listLine(50, true, backend("s3", "SERVING"), backend("s1", "SERVING")))
	if e = r.expect(policy.ListComplete, "s3:0", "s1:0"); e.Entries[1].Backend != 1 {
		t.Fatalf("s1 became %d", e.Entries[1].Backend)
	}
}

// A name that comes again after it was gone is another backend's, and nothing is kept of those that are gone.
func TestRemovedBackendsAreReleased(t *testing.T) {
	r := newFixture(t, false, nil)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.write(listLine(42, false, backend("s2", "SERVING"), backend("s7", "DELETED")) + listLine(43, false, backend("s2", "DELETED")) +
		listLine(44, false, backend("s2", "SERVING")))
	r.expect(policy.ListPatch, "s2:0")
	if e := r.expect(policy.ListPatch, "s2:2"); e.Entries[0].Backend != 2 {
		t.Fatalf("s2 is gone as %d", e.Entries[0].Backend)
	}
	if e := r.expect(policy.ListPatch, "s2:0"); e.Entries[0].Backend != 3 {
		t.Fatalf("the new s2 is %d", e.Entries[0].Backend)
	}
	w.write(listLine(45, true, backend("s4", "SERVING")) + listLine(46, true, backend("s1", "SERVING")))
	r.expect(policy.ListComplete, "s4:0")
	if e := r.expect(policy.ListComplete, "s1:0"); e.Entries[0].Backend != 5 || len(r.ids) != 1 {
		t.Fatalf("the new s1 is %d of %v", e.Entries[0].Backend, r.ids)
	}
}

// At a new address the watch goes on from the version last read; the old one is left, and what it says ignored.
func TestServiceRegistryMoves(t *testing.T) {
	r, other := newFixture(t, false, nil), newFixture(t, false, nil)
	other.expectRequest("/discovery/hosts?stream=1&index=41").end()
	old := r.expectRequest("/discovery/hosts?stream=1&index=41")
	old.write(listLine(47, false, backend("s2", "SERVING")))
	r.expect(policy.ListPatch, "s2:0")
	for _, address := range []string{"nowhere", "127.0.0.1:none", ""} {
		if r.MoveTo(address) == nil {
			t.Fatalf("%q was taken for an address", address)
		}
	}
	if err := r.MoveTo(other.server); err != nil {
		t.Fatal(err)
	}
	var w listRequest
	for w.query != "/discovery/hosts?stream=1&index=47" { // but for the watches of the other fixture's own register
		w = <-other.asks
	}
	select {
	case <-old.gone:
	case <-time.After(patience):
		t.Fatal("the old watch stays open")
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
	if e := r.expect(policy.ListPatch, "s1:1"); e.Entries[0].Backend != 1 { // it was never told to be gone
		t.Fatalf("s1 became %d", e.Entries[0].Backend)
	}
	select {
	case <-w.gone:
	case <-time.After(patience):
		t.Fatal("the broken watch stays open")
	}
}

// A weight that can't be one counts as none stated: refusing the list for it would cost the drains that it tells of.
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
	for range 8 { // heartbeats keep it
		time.Sleep(100 * time.Millisecond)
		w.write("\n")
	}
	if len(r.asks) > 0 {
		t.Fatal("a watch with beats was given up")
	}
	r.expectRequest("/discovery/hosts?stream=1&index=41").write(listLine(42, false, backend("s2", "SERVING")))
	r.expect(policy.ListPatch, "s2:0")
	w.write(listLine(42, false, backend("s9", "SERVING"))) // the old one is heard no more
	r.expectRequest("/discovery/hosts?stream=1&index=42")
	if rest := r.events.Remaining(); len(rest) > 0 {
		t.Fatalf("told %+v", rest)
	}
}

// A list may come indented, over several lines; one that breaks off ends the watch at the next heartbeat, and not later.
func TestIndentedLists(t *testing.T) {
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
	whole := indented(listLine(44, true, backend("s3", "DRAINING")))
	w.write(whole[:len(whole)/2])
	w.write(whole[len(whole)/2:] + "\n")
	r.expect(policy.ListComplete, "s3:1")
	w.write(whole[:strings.LastIndex(whole, "}")] + "\n\n")
	r.expectRequest("/discovery/hosts?stream=1&index=44")
	if rest := r.events.Remaining(); len(rest) > 0 {
		t.Fatalf("told %+v", rest)
	}
}

// What a watch that fell silent misses counts as told 6 s later, and drains then have 2 s of grace. Should the watch that takes its
// place be silent too, a third one stands within that; nobody is called gone meanwhile, as nothing says so.
func TestNewWatchWithoutHeartbeatsIsRenewedSooner(t *testing.T) {
	const scale = 50 // times faster
	r := newFixture(t, false, func(r *Client) { r.watchTimeout /= scale })
	r.expectRequest("/discovery/hosts?stream=1&index=41").write("\n")
	r.expectRequest("/discovery/hosts?stream=1&index=41")
	go func() { // the third, and on a busy machine those after it
		for {
			select {
			case w := <-r.asks:
				w.write(listLine(42, false, backend("s1", "DRAINING")))
			case <-t.Context().Done():
				return
			}
		}
	}()
	r.expect(policy.ListPatch, "s1:1")
	for _, e := range r.events.Remaining() { // told again at most
		if e.List != policy.ListPatch {
			t.Fatalf("told %+v", e)
		}
	}
	// How long that is in full, with the longest waits of chance between two watches.
	if total := time.Duration(missedHeartbeats*float64(heartbeatInterval))*3/2 + 2*minBackoff*3/2; total > 8*time.Second {
		t.Errorf("two silent watches take %s, expected 6 s and a drain's grace at most", total)
	}
}

func TestListOnRequestIsRequestedByThePolicy(t *testing.T) {
	r := newFixture(t, true, nil)
	r.Subscribe(true)
	w := r.expectRequest("/discovery/hosts?stream=1&index=41")
	w.end()
	r.expect(policy.ListFailed)
	r.RequestFullList()
	w = r.expectRequest("/discovery/hosts")
	w.write(listLine(60, true, backend("s8", "SERVING")))
	w.end()
	r.expect(policy.ListComplete, "s8:0")
	r.RequestFullList()
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
		r := &Client{listener: queue, locations: map[string]int{}, kinds: map[string]int{},
			ids: map[string]policy.BackendID{}, version: -7}
		err := r.applyList(text, false)
		told := queue.Take(nil)
		if err != nil {
			if len(told) > 0 || r.version != -7 {
				t.Fatalf("%q: %v, but %+v was told", text, err, told)
			}
			return
		}
		if len(told) != 1 || len(told[0].Entries) != len(told[0].Addresses) || len(told[0].Entries) != len(told[0].Names) {
			t.Fatalf("%q: told %+v", text, told)
		}
		for i, e := range told[0].Entries {
			if e.Backend == 0 || e.Cell < 0 || e.Phase != policy.Removed && told[0].Addresses[i] == "" {
				t.Fatalf("%q: told %+v", text, e)
			}
		}
	})
}
