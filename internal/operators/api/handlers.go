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

func (s *Server) list(w http.ResponseWriter, _ *http.Request, _ string) {
	v := s.controller.View()
	out := View{Aggregator: s.aggregator, Revision: uint64(v.Revision), Now: v.Now, Storage: v.Storage, Overrides: []Override{}, Recoveries: []Recovery{}}
	for i := range v.Overrides {
		o := shown(&v.Overrides[i].Override, v.Now)
		o.State = v.Overrides[i].State
		out.Overrides = append(out.Overrides, o)
	}
	for _, r := range v.Recoveries {
		back := Recovery{Backend: r.Backend, Index: r.Index, Level: r.Level, Desired: r.Desired}
		if r.Pin {
			shard := int(r.Shard)
			back.Shard = &shard
		}
		out.Recoveries = append(out.Recoveries, back)
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
		list = append(list, changed(&c, c.ChangedAt))
	}
	reply(w, http.StatusOK, list)
}

func (s *Server) why(w http.ResponseWriter, r *http.Request, _ string) {
	shard, err := strconv.Atoi(r.FormValue("shard"))
	if err != nil {
		s.fail(w, http.StatusBadRequest, "invalid", fmt.Sprintf("shard is %.20q, expected a number", r.FormValue("shard")))
		return
	}
	e, err := s.controller.Explain(policy.ShardID(shard), r.FormValue("index"), r.FormValue("searcher"))
	if err != nil {
		s.refused(w, err)
		return
	}
	out := Why{Goes: e.Routed, Share: e.Share, Rules: []Rule{}}
	for _, l := range e.Rules {
		out.Rules = append(out.Rules, Rule{l.Rule, l.Decides, uint64(l.OverrideID), l.Text})
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
	case res := <-s.controller.Submit(do):
		if res.Err != nil {
			s.refused(w, res.Err)
			return
		}
		out := changed(&res.Change, res.Change.ChangedAt)
		out.Again = res.Repeated
		reply(w, http.StatusOK, out)
	case <-s.controller.Done():
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
	tick := time.NewTicker(s.heartbeat)
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
			if enc.Encode(changed(&c, c.ChangedAt)) != nil {
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
