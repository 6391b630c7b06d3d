package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/operators/controller"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/logic"
)

// Operators are a few people and their scripts beside a mixer of one core: what follows leaves it to the lookups.
const (
	mostConnections   = 16       // open at once, of the descriptors that neither clients nor searchers have
	mostBody          = 16 << 10 // a command takes 1 KiB
	mostHead          = 8 << 10  // as the clients' side
	perSecond         = 20       // requests of all operators
	burst             = 40       // a page of an overview at once
	slowRequest       = 2 * time.Second
	slowAnswer        = 10 * time.Second // 10,000 overrides are 3 MB
	slowIdle          = time.Minute      // a person reads between two requests
	connectionWait    = 5 * time.Second  // a watcher that takes none of what it asked for holds its connection no longer
	heartbeatInterval = 10 * time.Second // an empty line while nothing changes
	mostHistory       = 1000
)

// Server serves operators.
type Server struct {
	mixer      string
	controller *controller.Controller
	fleet      *fleet.Fleet // nil where there is none
	door       *door
	log        zerolog.Logger
	count      *counters.Set
	limit      *rate.Limiter
	http       *http.Server
	beat       time.Duration
	closed     chan struct{}
}

// Listen opens the socket or the address. A socket left by a process that is no more is replaced; it is its owner's alone.
func Listen(address string) (net.Listener, error) {
	path, unix := strings.CutPrefix(address, "unix:")
	if !unix {
		return net.Listen("tcp", address)
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another process listens there", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path)
	}
	// It is made under a name in a directory that nobody else may enter, and takes its own name once its mode is set:
	// at no moment may others connect.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".operators-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l, err := net.Listen("unix", dir+"/s")
	if err != nil {
		return nil, err
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err = os.Chmod(dir+"/s", 0o600); err == nil {
		err = os.Rename(dir+"/s", path)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// New makes a server for a mixer of this name; its fleet may be nil.
func New(mixer string, set operatorfile.Operators, d *controller.Controller, f *fleet.Fleet, log zerolog.Logger, count *counters.Set) (*Server, error) {
	door, err := newDoor(set)
	if err != nil {
		return nil, err
	}
	s := &Server{mixer: mixer, controller: d, fleet: f, door: door, log: log, count: count, limit: rate.NewLimiter(perSecond, burst),
		beat: heartbeatInterval, closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/overrides", s.read(s.list))
	mux.HandleFunc("GET /v1/history", s.read(s.history))
	mux.HandleFunc("GET /v1/why", s.read(s.why))
	mux.HandleFunc("GET /v1/changes", s.read(s.watch))
	mux.HandleFunc("POST /v1/overrides", s.guarded(true, s.command))
	if f != nil {
		s.serveFleet(mux)
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: slowRequest, ReadTimeout: slowRequest, WriteTimeout: slowAnswer,
		IdleTimeout: slowIdle, MaxHeaderBytes: mostHead, ErrorLog: stdlog.New(io.Discard, "", 0), ConnState: s.changed}
	return s, nil
}

// changed logs one entry for each connection that ends.
func (s *Server) changed(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.count.Add("operator_lines", "accepted", 1)
	case http.StateClosed:
		s.count.Add("operator_lines", "ended", 1)
		s.log.Info().Str("peer", "operator").Str("reason", "ended").Str("address", c.RemoteAddr().String()).Msg("connection ended")
	}
}

// Serve serves until Stop.
func (s *Server) Serve(l net.Listener) {
	l = netutil.LimitListener(l, mostConnections)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Str("text", err.Error()).Msg("operators' listener ended")
	}
	close(s.closed)
}

// Stop ends all of it at once: operators ask again.
func (s *Server) Stop() {
	s.http.Close()
	<-s.closed
}

// fail answers with a code and a sentence.
func (s *Server) fail(w http.ResponseWriter, status int, code, text string) {
	s.count.Add("operators", code, 1)
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	reply(w, status, Failure{code, text})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

type handler func(w http.ResponseWriter, r *http.Request, who string)

func (s *Server) read(h handler) http.HandlerFunc { return s.guarded(false, h) }

// guarded lets in who may come in, at the rate that all together may have.
func (s *Server) guarded(write bool, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.limit.Allow() {
			s.fail(w, http.StatusTooManyRequests, "rate", fmt.Sprintf("more than %d requests a second", perSecond))
			return
		}
		who, mayWrite, err := s.door.who(r.Header.Get("Authorization"))
		switch {
		case err != nil:
			s.fail(w, http.StatusUnauthorized, "token", err.Error())
		case write && !mayWrite:
			s.fail(w, http.StatusForbidden, "role", fmt.Sprintf("the token of %s may read, not write", who))
		default:
			s.count.Add("operators", "served", 1)
			h(w, r, who)
		}
	}
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request, _ string) {
	v := s.controller.View()
	out := View{Mixer: s.mixer, Revision: uint64(v.Revision), Now: v.Now, Kept: v.Kept, Overrides: []Override{}, Returning: []Return{}}
	for i := range v.Overrides {
		o := shown(&v.Overrides[i].Override, v.Now)
		o.State = v.Overrides[i].State
		out.Overrides = append(out.Overrides, o)
	}
	for _, r := range v.Returns {
		back := Return{Searcher: r.Searcher, Index: r.Index, Level: r.Level, Want: r.Want}
		if r.Pin {
			shard := int(r.Shard)
			back.Shard = &shard
		}
		out.Returning = append(out.Returning, back)
	}
	reply(w, http.StatusOK, out)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ string) {
	most := mostHistory
	if q := r.FormValue("most"); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 1 || n > mostHistory {
			s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("most is %.20q, expected 1 to %d", q, mostHistory))
			return
		}
		most = n
	}
	list := []Change{}
	for _, c := range s.controller.History(most) {
		list = append(list, changed(&c, c.At))
	}
	reply(w, http.StatusOK, list)
}

func (s *Server) why(w http.ResponseWriter, r *http.Request, _ string) {
	shard, err := strconv.Atoi(r.FormValue("shard"))
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("shard is %.20q, expected a number", r.FormValue("shard")))
		return
	}
	e, err := s.controller.Explain(logic.ShardID(shard), r.FormValue("index"), r.FormValue("searcher"))
	if err != nil {
		s.refused(w, err)
		return
	}
	out := Why{Goes: e.Goes, Share: e.Share, Rules: []Rule{}}
	for _, l := range e.Lines {
		out.Rules = append(out.Rules, Rule{l.Rule, l.Acts, uint64(l.By), l.Text})
	}
	reply(w, http.StatusOK, out)
}

var statuses = map[override.Code]int{override.Invalid: http.StatusBadRequest, override.Unknown: http.StatusNotFound,
	override.Conflict: http.StatusConflict, override.KeyReused: http.StatusConflict, override.TooMany: http.StatusInsufficientStorage}

// refused answers a command that is not taken: with the guard rail's code where one stands against it, and with
// not_kept where the disk does.
func (s *Server) refused(w http.ResponseWriter, err error) {
	r := (*override.Refusal)(nil)
	if !errors.As(err, &r) {
		s.fail(w, http.StatusInsufficientStorage, "not_kept", err.Error())
		return
	}
	status, known := statuses[r.Code]
	if !known {
		status = http.StatusUnprocessableEntity
	}
	s.fail(w, status, string(r.Code), r.Text)
}

func (s *Server) command(w http.ResponseWriter, r *http.Request, who string) {
	var c Command
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBody))
	in.DisallowUnknownFields()
	if err := in.Decode(&c); err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if who != "" { // whose token it is, whatever the command says
		c.Author = who
	}
	do, err := c.command()
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	select {
	case res := <-s.controller.Do(do):
		if res.Err != nil {
			s.refused(w, res.Err)
			return
		}
		out := changed(&res.Change, res.Change.At)
		out.Again = res.Again
		reply(w, http.StatusOK, out)
	case <-s.controller.Ended():
		s.fail(w, http.StatusServiceUnavailable, "stopping", "the mixer stops; whether the command was kept shows at its next start")
	}
}

// watch tells changes, a line each, and an empty line as a heartbeat. One that falls behind is let go.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, _ string) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("from is %.20q, expected a revision", r.FormValue("from")))
		return
	}
	watcher := s.controller.Watch(override.Revision(from))
	defer s.controller.Unwatch(watcher)
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	out, enc := http.NewResponseController(w), json.NewEncoder(w)
	tick := time.NewTicker(s.beat)
	defer tick.Stop()
	for {
		out.SetWriteDeadline(time.Now().Add(connectionWait))
		if err := out.Flush(); err != nil {
			return
		}
		select {
		case c, on := <-watcher.C:
			if !on {
				s.count.Add("operators", "watch_let_go", 1)
				return
			}
			out.SetWriteDeadline(time.Now().Add(connectionWait))
			if enc.Encode(changed(&c, c.At)) != nil {
				return
			}
		case <-tick.C:
			out.SetWriteDeadline(time.Now().Add(connectionWait))
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// Client speaks with one mixer's listener.
type Client struct {
	http  *http.Client
	token string
}

// NewClient makes a client for a listener's address, as the operator's file states it.
func NewClient(address, token string) (*Client, error) {
	path, unix := strings.CutPrefix(address, "unix:")
	if !unix {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%w, expected unix:/PATH or HOST:PORT", err)
		}
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		if unix {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial}}, token}, nil
}

// Error is an answer that is none.
type Error struct {
	Status int
	Failure
}

func (e *Error) Error() string { return e.Code + ": " + e.Text }

func (c *Client) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://mixer"+path, body)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil || res.StatusCode == http.StatusOK {
		return res, err
	}
	defer res.Body.Close()
	e := &Error{Status: res.StatusCode}
	if json.NewDecoder(io.LimitReader(res.Body, mostBody)).Decode(&e.Failure) != nil {
		e.Code, e.Text = "status", res.Status
	}
	return nil, e
}

// Get reads what a path answers.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	res, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// Send sends a command.
func (c *Client) Send(ctx context.Context, command Command) (made Change, err error) {
	err = c.post(ctx, "/v1/overrides", command, &made)
	return made, err
}

// post sends a command to a path and reads what it answers.
func (c *Client) post(ctx context.Context, path string, command, into any) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	res, err := c.do(ctx, http.MethodPost, path, strings.NewReader(string(text)))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// Watch calls each for every change after a revision, until the connection ends.
func (c *Client) Watch(ctx context.Context, from uint64, each func(Change) error) error {
	res, err := c.do(ctx, http.MethodGet, "/v1/changes?from="+strconv.FormatUint(from, 10), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	for in := json.NewDecoder(res.Body); ; {
		var change Change
		if err := in.Decode(&change); err != nil {
			return err
		}
		if err := each(change); err != nil {
			return err
		}
	}
}
