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

// Limits of the listener. An aggregator has one core, and its operators are a few people and their scripts. The limits keep
// the core free for queries.
const (
	maxConnections       = 16       // open at the same time; they use file descriptors that are reserved neither for clients nor for backends
	maxBodyBytes         = 16 << 10 // a command takes about 1 KiB
	maxHeaderBytes       = 8 << 10  // the same as in the listener for clients
	maxRequestsPerSecond = 20       // of all operators together
	requestBurst         = 40       // requests that one page of an overview makes at once
	requestReadTimeout   = 2 * time.Second
	responseWriteTimeout = 10 * time.Second // a list of 10,000 overrides has 3 MB
	idleTimeout          = time.Minute      // leaves a person time to read between two requests
	watchWriteTimeout    = 5 * time.Second  // a watcher that does not read within this time is disconnected
	heartbeatInterval    = 10 * time.Second // of the empty lines that are sent to watchers
	maxHistoryEntries    = 1000
)

// Server answers the HTTP requests of operators.
type Server struct {
	aggregator    string
	controller    *controller.Controller
	fleet         *fleet.Fleet // nil if the aggregator belongs to no fleet
	authenticator *authenticator
	log           *zap.Logger
	counters      *counters.Set
	limiter       *rate.Limiter
	http          *http.Server
	heartbeat     time.Duration
	closed        chan struct{}
}

// Listen listens on a unix socket or a TCP address. A socket left behind by a process that has ended is replaced. Only the
// owner may connect to the socket.
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
		_ = os.Remove(path) // if this fails, the rename below replaces the socket or returns the reason
	}
	// The socket is created in a directory that only the owner may enter, and is renamed to its path once its mode is set.
	// So other users can connect at no time.
	dir, err := os.MkdirTemp(filepath.Dir(path), ".operators-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // an empty directory left behind does no harm
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

// New returns a server for the named aggregator. The fleet may be nil.
func New(aggregator string, settings operatorfile.Operators, overrides *controller.Controller, f *fleet.Fleet, log *zap.Logger, count *counters.Set) (*Server, error) {
	auth, err := newAuthenticator(settings)
	if err != nil {
		return nil, err
	}
	s := &Server{aggregator: aggregator, controller: overrides, fleet: f, authenticator: auth, log: log, counters: count, limiter: rate.NewLimiter(maxRequestsPerSecond, requestBurst),
		heartbeat: heartbeatInterval, closed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/overrides", s.readOnly(s.listOverrides))
	mux.HandleFunc("GET /v1/history", s.readOnly(s.history))
	mux.HandleFunc("GET /v1/why", s.readOnly(s.explain))
	mux.HandleFunc("GET /v1/changes", s.readOnly(s.watchChanges))
	mux.HandleFunc("POST /v1/overrides", s.authorized(true, s.submitOverrideCommand))
	if f != nil {
		s.registerFleetHandlers(mux)
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: requestReadTimeout, ReadTimeout: requestReadTimeout, WriteTimeout: responseWriteTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0), ConnState: s.connectionStateChanged}
	return s, nil
}

// connectionStateChanged counts connections that begin and end, and logs those that end.
func (s *Server) connectionStateChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.counters.Add("operator_lines", "accepted", 1)
	case http.StateClosed:
		s.counters.Add("operator_lines", "ended", 1)
		s.log.Info("connection ended", zap.String("peer", "operator"), zap.String("reason", "ended"), zap.String("address", c.RemoteAddr().String()))
	}
}

// Serve accepts connections until Stop is called.
func (s *Server) Serve(l net.Listener) {
	l = netutil.LimitListener(l, maxConnections)
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("operator listener ended", zap.String("text", err.Error()))
	}
	close(s.closed)
}

// Stop closes the listener and all connections at once, without waiting for requests in progress. Operators retry.
func (s *Server) Stop() {
	s.http.Close()
	<-s.closed
}

// fail counts a failed request and answers it with a code and a text.
func (s *Server) fail(w http.ResponseWriter, status int, code, text string) {
	s.counters.Add("operators", code, 1)
	if status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	reply(w, status, Failure{code, text})
}

// reply sends a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the status has been sent, and the operator may have disconnected
}

// handler handles an authorized request. The operator is the name of the token, "" if no tokens are configured.
type handler func(w http.ResponseWriter, r *http.Request, operator string)

// readOnly wraps a handler that every token may call.
func (s *Server) readOnly(h handler) http.HandlerFunc { return s.authorized(false, h) }

// authorized wraps a handler with the rate limit for all operators together and with the check of the token and its role.
func (s *Server) authorized(write bool, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.limiter.Allow() {
			s.fail(w, http.StatusTooManyRequests, "rate", fmt.Sprintf("more than %d requests a second", maxRequestsPerSecond))
			return
		}
		who, mayWrite, err := s.authenticator.authenticate(r.Header.Get("Authorization"))
		switch {
		case err != nil:
			s.fail(w, http.StatusUnauthorized, "token", err.Error())
		case write && !mayWrite:
			s.fail(w, http.StatusForbidden, "role", fmt.Sprintf("the token of %s may read, not write", who))
		default:
			s.counters.Add("operators", "served", 1)
			h(w, r, who)
		}
	}
}
