package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/operators/controller"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

// Operators are a few people and their scripts beside an aggregator of one core: what follows leaves it to the queries.
const (
	mostConnections   = 16       // open at once, of the descriptors that neither clients nor backends have
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
	aggregator string
	controller *controller.Controller
	fleet      *fleet.Fleet // nil where there is none
	door       *door
	log        *zap.Logger
	count      *counters.Set
	limit      *rate.Limiter
	http       *http.Server
	heartbeat  time.Duration
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
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // the rename below replaces what stays, or says why it cannot
	}
	// It is made under a name in a directory that nobody else may enter, and takes its own name once its mode is set:
	// at no moment may others connect.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".operators-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // an empty directory that stays does not hinder the listener
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: dir + "/s", Net: "unix"})
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false)
	if err = os.Chmod(dir+"/s", 0o600); err == nil {
		err = os.Rename(dir+"/s", path)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// New makes a server for an aggregator of this name; its fleet may be nil.
func New(aggregator string, set operatorfile.Operators, d *controller.Controller, f *fleet.Fleet, log *zap.Logger, count *counters.Set) (*Server, error) {
	door, err := newDoor(set)
	if err != nil {
		return nil, err
	}
	s := &Server{aggregator: aggregator, controller: d, fleet: f, door: door, log: log, count: count, limit: rate.NewLimiter(perSecond, burst),
		heartbeat: heartbeatInterval, closed: make(chan struct{})}
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
		s.log.Info("connection ended", zap.String("peer", "operator"), zap.String("reason", "ended"), zap.String("address", c.RemoteAddr().String()))
	}
}

// Serve serves until Stop.
func (s *Server) Serve(l net.Listener) {
	l = netutil.LimitListener(l, mostConnections)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("operator listener ended", zap.String("text", err.Error()))
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
	_ = json.NewEncoder(w).Encode(body) // the status is sent: an operator who has left is told nothing
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
