package operations

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

func (h *Handler) jobs(w http.ResponseWriter, r *http.Request) {
	list, err := h.listJobs(r)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	control.WriteJSON(w, http.StatusOK, list)
}

func (h *Handler) listJobs(r *http.Request) (list JobList, err error) {
	query := r.URL.Query()
	state, err := parseState(query.Get(StateParameter))
	if err != nil {
		return list, err
	}
	limit, err := parseLimit(query.Get(LimitParameter))
	if err != nil {
		return list, err
	}
	groups, err := h.requestedGroups(query)
	if err != nil {
		return list, err
	}
	replies := callLeaders[jobreport.JobsReply](r.Context(), h, groups, jobreport.JobsCall.Route(), func(group string) any {
		return jobreport.JobsRequest{Group: group, State: state, Limit: limit}
	})
	if list.Unanswered, err = unansweredServices(replies); err != nil {
		return list, err
	}
	list.merge(replies, limit)
	return list, nil
}

// merge adds jobs of all services up to a limit. It takes one job of each service in turn.
func (list *JobList) merge(replies []leaderReply[jobreport.JobsReply], limit int) {
	longest := 0
	for _, result := range replies {
		list.Total += result.reply.Total
		longest = max(longest, len(result.reply.Jobs))
	}
	for position := range longest {
		for _, result := range replies {
			if position < len(result.reply.Jobs) && len(list.Jobs) < limit {
				entry := result.reply.Jobs[position]
				entry.Service = feed.ServiceOf(result.group)
				list.Jobs = append(list.Jobs, entry)
			}
		}
	}
}

func parseState(text string) (job.State, error) {
	switch state := job.State(text); state {
	case "", job.Queued, job.Running, job.Completed, job.Failed, job.Cancelled:
		return state, nil
	}
	return "", newStatusError(http.StatusBadRequest, fmt.Sprintf("state %q is unknown; give queued, running, completed, failed or cancelled", text))
}

func parseLimit(text string) (int, error) {
	if text == "" {
		return jobreport.DefaultJobLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > jobreport.MaxJobLimit {
		return 0, newStatusError(http.StatusBadRequest, fmt.Sprintf("limit %q: give a number from 1 to %d", text, jobreport.MaxJobLimit))
	}
	return limit, nil
}

// locatedJob is a job and the group that knows it.
type locatedJob struct {
	group  string
	detail jobreport.JobDetail
}

// locateJob finds the job that a request names by calling the leaders.
func (h *Handler) locateJob(r *http.Request) (locatedJob, error) {
	id := job.ID(r.PathValue("id"))
	if !id.Valid() {
		return locatedJob{}, newStatusError(http.StatusBadRequest, fmt.Sprintf("%q is not a job's ID; it has 16 hexadecimal digits", id))
	}
	groups, err := h.requestedGroups(r.URL.Query())
	if err != nil {
		return locatedJob{}, err
	}
	replies := callLeaders[jobreport.JobReply](r.Context(), h, groups, jobreport.JobCall.Route(), func(group string) any {
		return jobreport.JobRequest{Group: group, ID: id}
	})
	return uniqueMatch(id, replies)
}

// uniqueMatch returns the only known job in the replies. It returns an error if there are several or none. If there is none and a
// leader has failed to reply, it returns that leader's error, because that leader may know the job.
func uniqueMatch(id job.ID, replies []leaderReply[jobreport.JobReply]) (locatedJob, error) {
	var matches []locatedJob
	var failure error
	for _, result := range replies {
		switch {
		case result.err != nil:
			failure = result.err
		case result.reply.Known:
			detail := result.reply.Job
			detail.Service = feed.ServiceOf(result.group)
			matches = append(matches, locatedJob{group: result.group, detail: detail})
		}
	}
	switch {
	case len(matches) > 1:
		return locatedJob{}, newStatusError(http.StatusConflict, fmt.Sprintf("several services have a job %s; name one with ?%s=", id, ServiceParameter))
	case len(matches) == 1:
		return matches[0], nil
	case failure != nil:
		return locatedJob{}, failure
	}
	return locatedJob{}, newUnknownJobError(id)
}

func newUnknownJobError(id job.ID) error {
	return newStatusError(http.StatusNotFound, fmt.Sprintf("no job %s is known: it was never taken, or it ended long ago", id))
}

func (h *Handler) job(w http.ResponseWriter, r *http.Request) {
	match, err := h.locateJob(r)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	control.WriteJSON(w, http.StatusOK, match.detail)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	match, err := h.locateJob(r)
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	var reply jobreport.ExplainReply
	request := jobreport.ExplainRequest{Group: match.group, ID: match.detail.ID}
	if err := h.callLeader(r.Context(), match.group, jobreport.ExplainCall.Route(), request, &reply); err != nil {
		h.writeError(w, r, err)
		return
	}
	control.WriteJSON(w, http.StatusOK, reply.Explanation)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	match, err := h.locateJob(r)
	if err == nil {
		err = h.cancelJob(r.Context(), match)
	}
	if err != nil {
		h.writeError(w, r, err)
		return
	}
	h.options.Logger.Info("operator cancelled job", zap.String("service", match.detail.Service), zap.String("job", string(match.detail.ID)))
	control.WriteJSON(w, http.StatusOK, CancelledJob{ID: string(match.detail.ID), Service: match.detail.Service})
}

// cancelJob asks the job's leader to cancel it. The result depends on the durable state in the reply, not on the state found by
// locateJob. Since then, the job may have ended, or the state that was found may have been lost.
func (h *Handler) cancelJob(ctx context.Context, match locatedJob) error {
	var reply jobapi.CancelReply
	err := h.callLeader(ctx, match.group, jobapi.CancelCall.Route(), jobapi.CancelRequest{Group: match.group, ID: match.detail.ID}, &reply)
	switch {
	case err != nil:
		return err
	case !reply.Known:
		return newUnknownJobError(match.detail.ID)
	case reply.State.Final() && reply.State != job.Cancelled:
		return newStatusError(http.StatusConflict, fmt.Sprintf("job %s has already ended: it is %s", match.detail.ID, reply.State))
	}
	return nil
}
