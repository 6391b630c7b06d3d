package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// unplaceableRequests collects the resource requests for which no worker had capacity during one dispatch. Free capacity only
// shrinks during a dispatch, so a stage that requests at least as much cannot be placed either.
type unplaceableRequests struct {
	withoutLabel []job.Resources            // requests of stages that require no label
	byLabel      map[string][]job.Resources // requests of stages that require exactly one label, by that label
}

// covers reports whether a stage cannot be placed, because it requests at least as much as a request recorded before and
// requires the same label, if that one required any.
func (r *unplaceableRequests) covers(stage *stageState) bool {
	if isDominated(r.withoutLabel, stage.Resources) {
		return true
	}
	for _, label := range stage.Requirements {
		if isDominated(r.byLabel[label], stage.Resources) {
			return true
		}
	}
	return false
}

// add records the request of a stage that could not be placed. It ignores stages with an anti-affinity limit, because that
// limit may be the reason, and stages that require several labels.
func (r *unplaceableRequests) add(stage *stageState) {
	switch {
	case stage.AntiAffinity > 0:
	case len(stage.Requirements) == 0:
		r.withoutLabel = append(r.withoutLabel, stage.Resources)
	case len(stage.Requirements) == 1:
		if r.byLabel == nil {
			r.byLabel = map[string][]job.Resources{}
		}
		label := stage.Requirements[0]
		r.byLabel[label] = append(r.byLabel[label], stage.Resources)
	}
}

// isDominated reports whether a request is at least as large, in every resource, as one of the given requests.
func isDominated(requests []job.Resources, request job.Resources) bool {
	for _, other := range requests {
		if request.Fits(other) {
			return true
		}
	}
	return false
}
