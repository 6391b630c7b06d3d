package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// unplaceableRequests are requests for which no worker had capacity during one dispatch. Capacity only shrinks in a
// dispatch, so that a stage which requests at least as much cannot be placed either.
type unplaceableRequests struct {
	unlabelled []job.Resources            // of stages that any worker may take
	labelled   map[string][]job.Resources // of those that need a label
}

func (r *unplaceableRequests) covers(stage *stageState) bool {
	if isDominated(r.unlabelled, stage.Resources) {
		return true
	}
	for _, label := range stage.Requirements {
		if isDominated(r.labelled[label], stage.Resources) {
			return true
		}
	}
	return false
}

func (r *unplaceableRequests) add(stage *stageState) {
	switch {
	case stage.AntiAffinity > 0:
	case len(stage.Requirements) == 0:
		r.unlabelled = append(r.unlabelled, stage.Resources)
	case len(stage.Requirements) == 1:
		if r.labelled == nil {
			r.labelled = map[string][]job.Resources{}
		}
		label := stage.Requirements[0]
		r.labelled[label] = append(r.labelled[label], stage.Resources)
	}
}

// isDominated tells whether a request is at least as large as one of those given.
func isDominated(requests []job.Resources, request job.Resources) bool {
	for _, smaller := range requests {
		if request.Fits(smaller) {
			return true
		}
	}
	return false
}
