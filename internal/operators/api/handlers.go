package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/policy"
)

func (s *Server) listOverrides(w http.ResponseWriter, _ *http.Request, _ string) {
	v := s.controller.View()
	out := View{Aggregator: s.aggregator, Revision: uint64(v.Revision), Now: v.Now, Storage: v.Storage, Overrides: []Override{}, Recoveries: []Recovery{}}
	for i := range v.Overrides {
		o := toOverride(&v.Overrides[i].Override, v.Now)
		o.State = v.Overrides[i].State
		out.Overrides = append(out.Overrides, o)
	}
	for _, r := range v.Recoveries {
		recovery := Recovery{Backend: r.Backend, Index: r.Index, Level: r.Level, Desired: r.Desired}
		if r.Pin {
			shard := int(r.Shard)
			recovery.Shard = &shard
		}
		out.Recoveries = append(out.Recoveries, recovery)
	}
	reply(w, http.StatusOK, out)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ string) {
	limit := maxHistoryEntries
	if q := r.FormValue("most"); q != "" {
		n, err := strconv.Atoi(q)
		if err != nil || n < 1 || n > maxHistoryEntries {
			s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("most is %.20q, expected 1 to %d", q, maxHistoryEntries))
			return
		}
		limit = n
	}
	list := []Change{}
	for _, c := range s.controller.History(limit) {
		list = append(list, toChange(&c, c.ChangedAt))
	}
	reply(w, http.StatusOK, list)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	shard, err := strconv.Atoi(r.FormValue("shard"))
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("shard is %.20q, expected a number", r.FormValue("shard")))
		return
	}
	e, err := s.controller.Explain(policy.ShardID(shard), r.FormValue("index"), r.FormValue("searcher"))
	if err != nil {
		s.failRefused(w, err)
		return
	}
	out := Explanation{Routed: e.Routed, Share: e.Share, Rules: []Rule{}}
	for _, l := range e.Rules {
		out.Rules = append(out.Rules, Rule{l.Rule, l.Decides, uint64(l.OverrideID), l.Text})
	}
	reply(w, http.StatusOK, out)
}

// statusByCode maps the codes of refusals to HTTP statuses. Other codes are answered with 422.
var statusByCode = map[override.Code]int{override.Invalid: http.StatusBadRequest, override.Unknown: http.StatusNotFound,
	override.Conflict: http.StatusConflict, override.KeyReused: http.StatusConflict, override.TooMany: http.StatusInsufficientStorage}

// failRefused answers a request that was rejected. The code is that of the refusal. For any other error, such as a failed
// write to disk, the code is not_kept.
func (s *Server) failRefused(w http.ResponseWriter, err error) {
	r := (*override.Refusal)(nil)
	if !errors.As(err, &r) {
		s.fail(w, http.StatusInsufficientStorage, "not_kept", err.Error())
		return
	}
	status, known := statusByCode[r.Code]
	if !known {
		status = http.StatusUnprocessableEntity
	}
	s.fail(w, status, string(r.Code), r.Text)
}

func (s *Server) submitOverrideCommand(w http.ResponseWriter, r *http.Request, operator string) {
	var c Command
	in := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	in.DisallowUnknownFields()
	if err := in.Decode(&c); err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	if operator != "" { // the token's name replaces the author that the command states
		c.Author = operator
	}
	command, err := c.toOverrideCommand()
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	select {
	case res := <-s.controller.Submit(command):
		if res.Err != nil {
			s.failRefused(w, res.Err)
			return
		}
		out := toChange(&res.Change, res.Change.ChangedAt)
		out.Repeated = res.Repeated
		reply(w, http.StatusOK, out)
	case <-s.controller.Done():
		s.fail(w, http.StatusServiceUnavailable, "stopping", "the mixer stops; whether the command was kept shows at its next start")
	}
}

// watchChanges streams changes, one JSON object a line, and sends an empty line as a heartbeat. A watcher that falls behind
// is disconnected.
func (s *Server) watchChanges(w http.ResponseWriter, r *http.Request, _ string) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("from is %.20q, expected a revision", r.FormValue("from")))
		return
	}
	watcher := s.controller.Watch(override.Revision(from))
	defer s.controller.Unwatch(watcher)
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	controller, enc := http.NewResponseController(w), json.NewEncoder(w)
	tick := time.NewTicker(s.heartbeat)
	defer tick.Stop()
	for {
		controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case c, open := <-watcher.C:
			if !open {
				s.counters.Add("operators", "watch_let_go", 1)
				return
			}
			controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
			if enc.Encode(toChange(&c, c.ChangedAt)) != nil {
				return
			}
		case <-tick.C:
			controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}
