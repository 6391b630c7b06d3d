package operations

import (
	"fmt"
	"net/http"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/entitytag"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

func (h *Handler) workers(w http.ResponseWriter, r *http.Request) {
	groups, err := h.requestedGroups(r.URL.Query())
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	replies := callLeaders[jobreport.WorkersReply](r.Context(), h, groups, jobreport.WorkersCall.Route(),
		func(group string) any { return jobreport.WorkersRequest{Group: group} })
	var list WorkerList
	if list.Unanswered, err = unansweredServices(replies); err != nil {
		h.writeError(w, r, err)
		return
	}
	for _, result := range replies {
		list.Workers = append(list.Workers, result.reply.Workers...)
	}
	control.WriteJSON(w, http.StatusOK, list)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request)   { h.setDrain(w, r, true) }
func (h *Handler) undrain(w http.ResponseWriter, r *http.Request) { h.setDrain(w, r, false) }

// setDrain calls the leaders of the requested groups. The leader that knows the worker applies the change.
func (h *Handler) setDrain(w http.ResponseWriter, r *http.Request, draining bool) {
	groups, err := h.requestedGroups(r.URL.Query())
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	baseVersion, err := parseBaseVersion(r)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	id := r.PathValue("id")
	replies := callLeaders[jobreport.DrainReply](r.Context(), h, groups, jobreport.DrainCall.Route(), func(group string) any {
		return jobreport.DrainRequest{Group: group, Worker: id, Draining: draining, BaseVersion: baseVersion}
	})
	var failure error
	for _, result := range replies {
		switch {
		case result.err != nil:
			failure = leastCertainError(failure, result.err)
		case result.reply.Known:
			h.writeDrainOutcome(w, r, result.reply)
			return
		}
	}
	if failure == nil {
		failure = newStatusError(http.StatusNotFound, fmt.Sprintf("no searcher %q is known; list them at %s", id, WorkersPath))
	}
	h.writeError(w, r, failure)
}

// parseBaseVersion returns the version of a worker's drain that a change is based on, from the If-Match header. It returns nil if
// there is no such header.
func parseBaseVersion(r *http.Request) (*uint64, error) {
	header := r.Header.Get("If-Match")
	if header == "" {
		return nil, nil
	}
	version, err := entitytag.Parse(header)
	if err != nil {
		return nil, newStatusError(http.StatusBadRequest, "If-Match is not a version; give the searcher's drainVersion, as "+WorkersPath+" lists it")
	}
	return &version, nil
}

// writeDrainOutcome writes the response to a change of a drain, according to the outcome at the worker's leader.
func (h *Handler) writeDrainOutcome(w http.ResponseWriter, r *http.Request, reply jobreport.DrainReply) {
	currentDrain := fmt.Sprintf("version %d is in force, operatorDraining is %t", reply.Worker.DrainVersion, reply.Worker.OperatorDraining)
	switch reply.Outcome {
	case jobreport.DrainApplied:
		w.Header().Set("ETag", entitytag.Format(reply.Worker.DrainVersion))
		control.WriteJSON(w, http.StatusOK, reply.Worker)
	case jobreport.DrainSuperseded:
		h.writeError(w, r, newStatusError(http.StatusPreconditionFailed, "another order was taken on top of that version: "+currentDrain))
	default:
		h.writeError(w, r, newStatusError(http.StatusGatewayTimeout, "it cannot be told whether this order was taken: "+currentDrain+"; order it again on top of that"))
	}
}
