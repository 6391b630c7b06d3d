package operations

import (
	"context"
	"net/http"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	sources := h.options.Sources
	version, _ := sources.Configuration()
	view := sources.View()
	control.WriteJSON(w, http.StatusOK, Status{
		Node:                 h.options.Node,
		UptimeMS:             time.Since(h.startTime).Milliseconds(),
		Rebuilt:              sources.Rebuilt(),
		InContact:            sources.InContact(),
		ConfigurationVersion: version,
		View:                 View{Version: view.Version, Members: view.Members},
		Members:              h.members(),
		Groups:               h.groupStatus(r.Context()),
		Agents:               sources.Agents(),
	})
}

func (h *Handler) members() []Member {
	var members []Member
	for _, member := range h.options.Sources.Members() {
		members = append(members, Member{
			Address: member.Address, Alive: member.Alive, Ready: member.Ready, Contacted: member.Contacted, SinceContactMS: member.SinceContact.Milliseconds(),
		})
	}
	return members
}

// groupStatus requests a summary from each leader. It makes only one attempt, because the status must be returned soon even if
// leaders do not reply.
func (h *Handler) groupStatus(ctx context.Context) []Group {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	leaders := h.options.Sources.Leaders()
	names := h.options.Sources.Groups()
	groups := make([]Group, len(names))
	var calls sync.WaitGroup
	for i, name := range names {
		leader := leaders[name]
		groups[i] = Group{Service: feed.ServiceOf(name), Leader: leader.Address, Term: leader.Term}
		if leader.Address == "" {
			groups[i].Error = errNoLeader.Error()
			continue
		}
		calls.Go(func() { h.addSummary(ctx, name, &groups[i]) })
	}
	calls.Wait()
	return groups
}

func (h *Handler) addSummary(ctx context.Context, name string, group *Group) {
	var reply jobreport.SummaryReply
	err := h.callOnce(ctx, group.Leader, jobreport.SummaryCall.Route(), jobreport.SummaryRequest{Group: name}, &reply)
	if err != nil {
		group.Error = err.Error()
		return
	}
	group.Summary = &reply.Summary
}
