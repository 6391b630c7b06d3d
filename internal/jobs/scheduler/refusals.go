package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// refusals are requests that found no room during one dispatch: whoever asks for as much finds none either.
type refusals struct {
	anywhere []job.Resources            // of stages that any worker may take
	labelled map[string][]job.Resources // of those that need a label
}

func (r *refusals) covers(stage *stageRun) bool {
	if dominated(r.anywhere, stage.Resources) {
		return true
	}
	for _, label := range stage.Requirements {
		if dominated(r.labelled[label], stage.Resources) {
			return true
		}
	}
	return false
}

func (r *refusals) add(stage *stageRun) {
	switch {
	case stage.AntiAffinity > 0:
	case len(stage.Requirements) == 0:
		r.anywhere = append(r.anywhere, stage.Resources)
	case len(stage.Requirements) == 1:
		if r.labelled == nil {
			r.labelled = map[string][]job.Resources{}
		}
		label := stage.Requirements[0]
		r.labelled[label] = append(r.labelled[label], stage.Resources)
	}
}

// dominated tells whether a request is at least as large as one of those refused.
func dominated(refused []job.Resources, request job.Resources) bool {
	for _, smaller := range refused {
		if request.Fits(smaller) {
			return true
		}
	}
	return false
}
