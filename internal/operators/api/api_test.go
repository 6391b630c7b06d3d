package api

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/operators/controller"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/policy"
)

// fixture is a server with a controller of four backends, and a client that is connected to it.
type fixture struct {
	*testing.T
	*Server
	address string
	client  *Client
	events  *eventqueue.Queue[aggregator.Event]
}

func newFixture(t *testing.T, settings operatorfile.Operators, token string) *fixture {
	limits := override.Defaults()
	limits.Indexes, limits.Shards, limits.Cells, limits.Width = []string{"reads"}, 4, 2, 2
	r := &fixture{T: t, events: eventqueue.New[aggregator.Event]()}
	overrides := controller.New(limits, r.events, nil, "", zap.NewNop(), counters.New())
	list := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}}
	for i := range 4 {
		list.Entries = append(list.Entries, policy.Entry{Backend: policy.BackendID(i + 1), Cell: policy.CellID(i % 2)})
		list.Addresses, list.Names = append(list.Addresses, "x:1"), append(list.Names, aggregator.Name{Backend: fmt.Sprint("s-", i), Location: "north"})
	}
	overrides.Put(list)
	overrides.ProcessPending()
	go overrides.Run()
	var err error
	if r.Server, err = New("n1", settings, overrides, nil, zap.NewNop(), counters.New()); err != nil {
		t.Fatal(err)
	}
	if settings.Listen == "" {
		dir, err := os.MkdirTemp("", "pl") // the path of a socket has to be short
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { os.RemoveAll(dir) })
		settings.Listen = "unix:" + filepath.Join(dir, "s")
	}
	l, err := Listen(settings.Listen)
	if err != nil {
		t.Fatal(err)
	}
	if r.address = settings.Listen; !strings.HasPrefix(r.address, "unix:") {
		r.address = l.Addr().String()
	}
	go r.Serve(l)
	t.Cleanup(func() { r.Stop(); overrides.Stop() })
	if r.client, err = NewClient(r.address, token); err != nil {
		t.Fatal(err)
	}
	return r
}

// get requests a path and returns the code of the error, or "".
func (r *fixture) get(path string, into any) string {
	return errorCode(r.client.Get(context.Background(), path, into))
}

// errorCode returns the code of a response, the text of any other error, and "" without an error.
func errorCode(err error) string {
	if e := (*Error)(nil); errors.As(err, &e) {
		return e.Code
	} else if err != nil {
		return err.Error()
	}
	return ""
}

func (r *fixture) sendCommand(revision uint64, c Command) (Change, string) {
	c.Revision = &revision
	change, err := r.client.Send(context.Background(), c)
	return change, errorCode(err)
}

func TestOverrideIsSetShownExplainedAndCleared(t *testing.T) {
	r := newFixture(t, operatorfile.Operators{}, "")
	info, err := os.Stat(strings.TrimPrefix(r.address, "unix:"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Fatalf("the socket's mode is %v, %v", info.Mode(), err)
	}
	changes := make(chan Change, 10)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.client.Watch(ctx, 0, func(c Change) error { changes <- c; return nil })
	c := Command{Key: "k", Kind: "pin", Backend: "s-0", From: 1, To: 2, Author: "ann", Reason: "slow", DurationSeconds: 60}
	made, code := r.sendCommand(0, c)
	if code != "" || made.Revision != 1 || made.Override.Kind != "pin" || *made.Override.From != 1 {
		t.Fatalf("set: got %+v, %s", made, code)
	}
	if again, code := r.sendCommand(0, c); code != "" || !again.Repeated || again.Revision != 1 {
		t.Fatalf("sent twice: %+v, %s", again, code)
	}
	for want, c := range map[string]Command{"conflict": {Kind: "out", Backend: "s-1", Author: "ann", Reason: "x", DurationSeconds: 5},
		"invalid": {Kind: "none"}} {
		if _, code := r.sendCommand(0, c); code != want {
			t.Errorf("got %s, expected %s", code, want)
		}
	}
	if _, code := r.sendCommand(1, Command{Kind: "out", Location: "north", Author: "ann", Reason: "x", DurationSeconds: 5}); code != "last_holder" {
		t.Errorf("override of the last backends: got %s, expected last_holder", code)
	}
	var v View
	if code := r.get("/v1/overrides", &v); code != "" || len(v.Overrides) != 1 || v.Overrides[0].State != "acts" || v.Storage != "memory" || v.Overrides[0].EndsIn > 60 {
		t.Fatalf("got %+v, %s", v, code)
	}
	var w Explanation
	if code := r.get("/v1/why?shard=1&index=reads&searcher=s-1", &w); code != "" || w.Routed || w.Rules[0].Rule != "pin" || w.Rules[0].OverrideID != 1 {
		t.Fatalf("got %+v, %s", w, code)
	}
	for path, want := range map[string]string{"/v1/why?shard=x": "invalid", "/v1/why?shard=1&index=reads&searcher=zz": "unknown",
		"/v1/history?most=0": "invalid", "/v1/changes?from=-1": "invalid", "/v1/nothing": "status"} {
		if got := r.get(path, &w); got != want {
			t.Errorf("%s: got %s, expected %s", path, got, want)
		}
	}
	if _, code := r.sendCommand(1, Command{Clear: 1, Author: "bob", Reason: "done"}); code != "" {
		t.Fatal(code)
	}
	var list []Change
	if code := r.get("/v1/history", &list); code != "" || len(list) != 2 || list[1].Action != "cleared" || list[1].Author != "bob" {
		t.Fatalf("got %+v, %s", list, code)
	}
	for want := range uint64(2) {
		select {
		case c := <-changes:
			if c.Revision != want+1 {
				t.Fatalf("watch returned %+v, expected revision %d", c, want+1)
			}
		case <-time.After(time.Minute):
			t.Fatal("watch returned no change within a minute")
		}
	}
}

func TestTokenDeterminesAuthorAndRole(t *testing.T) {
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "key")
	key := []byte(strings.Repeat("k", tokenBytes))
	os.WriteFile(keyFile, []byte(hex.EncodeToString(key)+"\n"), 0o644)
	set := operatorfile.Operators{Listen: "127.0.0.1:0", KeyFile: keyFile}
	tokens := map[string]string{}
	for _, name := range []string{"reader", "writer"} {
		token, hash, err := NewToken(key)
		if err != nil {
			t.Fatal(err)
		}
		tokens[name] = token
		set.Tokens = append(set.Tokens, operatorfile.Token{Name: name, Write: name == "writer", Hash: hash})
	}
	if _, err := New("n1", set, nil, nil, zap.NewNop(), counters.New()); err == nil || !strings.Contains(err.Error(), "0600") {
		t.Fatalf("key file that others may read: got %v, expected an error", err)
	}
	os.Chmod(keyFile, 0o600)
	r := newFixture(t, set, tokens["reader"])
	var v View
	if code := r.get("/v1/overrides", &v); code != "" {
		t.Fatal(code)
	}
	out := Command{Kind: "out", Backend: "s-0", Author: "somebody else", Reason: "slow", DurationSeconds: 9}
	if _, code := r.sendCommand(0, out); code != "role" {
		t.Fatalf("command with a read token: got %s, expected role", code)
	}
	for _, token := range []string{"", "x", tokens["writer"] + "0", strings.ToUpper(tokens["writer"])} {
		r.client.token = token
		if code := r.get("/v1/overrides", &v); code != "token" {
			t.Errorf("token %q: got %s, expected token", token, code)
		}
	}
	r.client.token = tokens["writer"]
	if made, code := r.sendCommand(0, out); code != "" || made.Author != "writer" {
		t.Fatalf("command with a write token: got %+v, %s", made, code)
	}
}

// Clients that send half a request, or none, hold all connections but one. Another client must still be served, and the
// stalled connections must be closed after the timeout. Large bodies and requests above the rate limit are rejected.
func TestStalledConnectionsAreClosedAndRequestsAreLimited(t *testing.T) {
	r := newFixture(t, operatorfile.Operators{}, "")
	path := strings.TrimPrefix(r.address, "unix:")
	var stalled []net.Conn
	for range maxConnections - 1 { // each second one sends half a request, the others nothing
		c, err := net.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if len(stalled)%2 == 0 {
			io.WriteString(c, "POST /v1/overrides HTTP/1.1\r\nContent-Le")
		}
		stalled = append(stalled, c)
	}
	var v View
	if code := r.get("/v1/overrides", &v); code != "" {
		t.Fatal(code)
	}
	for _, c := range stalled { // the server closes each of them
		c.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a stalled connection was not closed within a minute")
		}
	}
	r.client.http.CloseIdleConnections()
	large := Command{Kind: "out", Backend: strings.Repeat("s", maxBodyBytes), Reason: "x", DurationSeconds: 9}
	if _, code := r.sendCommand(0, large); code != "invalid" {
		t.Errorf("command with a field of %d bytes: got %s, expected invalid", maxBodyBytes, code)
	}
	r.limiter = rate.NewLimiter(0, 3)
	got := map[string]int{}
	for range 10 {
		got[r.get("/v1/overrides", &v)]++
	}
	if got[""] != 3 || got["rate"] != 7 {
		t.Fatalf("got %v", got)
	}
}

func TestStaleSocketIsReplacedAndSocketInUseIsNot(t *testing.T) {
	r := newFixture(t, operatorfile.Operators{}, "")
	if _, err := Listen(r.address); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Fatalf("got %v", err)
	}
	var v View
	r.get("/v1/overrides", &v) // wait until Serve runs; closing the server earlier would have no effect
	r.http.Close()
	l, err := Listen(r.address)
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if _, err := Listen("unix:/nowhere/at/all/s"); err == nil {
		t.Fatal("listening in a missing directory succeeded")
	}
}
