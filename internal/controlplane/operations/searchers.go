package operations

import (
	"fmt"
	"net/http"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

func (h *Handler) searchers(w http.ResponseWriter, r *http.Request) {
	groups, err := h.groups(r.URL.Query())
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	answers := askAll[jobreport.SearchersReply](r.Context(), h, groups, jobreport.SearchersCall.Route(),
		func(group string) any { return jobreport.SearchersRequest{Group: group} })
	var list Searchers
	if list.Unanswered, err = unanswered(answers); err != nil {
		h.writeError(w, r, err)
		return
	}
	for _, one := range answers {
		list.Searchers = append(list.Searchers, one.reply.Searchers...)
	}
	write(w, http.StatusOK, list)
}

func (h *Handler) drain(w http.ResponseWriter, r *http.Request)   { h.setDrain(w, r, true) }
func (h *Handler) undrain(w http.ResponseWriter, r *http.Request) { h.setDrain(w, r, false) }

// setDrain tells the leaders of all groups in question; the one that knows the searcher acts.
func (h *Handler) setDrain(w http.ResponseWriter, r *http.Request, draining bool) {
	groups, err := h.groups(r.URL.Query())
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	id := r.PathValue("id")
	answers := askAll[jobreport.DrainReply](r.Context(), h, groups, jobreport.DrainCall.Route(), func(group string) any {
		return jobreport.DrainRequest{Group: group, Searcher: id, Draining: draining}
	})
	var failure error
	for _, one := range answers {
		switch {
		case one.err != nil:
			failure = worse(failure, one.err)
		case one.reply.Known:
			write(w, http.StatusOK, one.reply.Searcher)
			return
		}
	}
	if failure == nil {
		failure = failed(http.StatusNotFound, fmt.Sprintf("no searcher %q is known; list them at %s", id, SearchersPath))
	}
	h.writeError(w, r, failure)
}
