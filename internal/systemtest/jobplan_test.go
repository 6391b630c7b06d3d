package systemtest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// jobPlan is a job of the load: what the client sends, and how its tasks behave on the fake workers.
type jobPlan struct {
	id          job.ID
	kind        jobKind
	route       routePlan
	body        job.Specification
	work        time.Duration // run time of a task
	alwaysFails bool          // every attempt fails
	cancelAfter time.Duration // from the job's acceptance; 0 if it is not cancelled
}

// path returns the URL path of the job at a proxy.
func (p jobPlan) path() string { return p.route.prefix + string(p.id) }

// jobKind is a kind of job of the load.
type jobKind uint8

const (
	plainJob jobKind = iota
	multiStageJob
	gangJob
	scheduledJob
	atLeastOnceJob
	longRunningJob
	failingJob
	cancelledJob
	antiAffinityJob
	jobKindCount
)

// plans holds the jobs that were submitted. From them the fake workers learn which resources a task needs and how it ends.
type plans struct {
	mu    sync.Mutex
	byJob map[string]jobPlan
}

func (p *plans) add(plan jobPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byJob[string(plan.id)] = plan
}

func (p *plans) kindOf(id string) jobKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byJob[id].kind
}

// describe implements cluster.Settings.Describe.
func (p *plans) describe(task job.TaskID, _ string) cluster.Profile {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan, known := p.byJob[string(task.Job)]
	if !known || task.Stage >= len(plan.body.Stages) {
		return cluster.Profile{Duration: time.Second}
	}
	stage := plan.body.Stages[task.Stage]
	profile := cluster.Profile{Resources: stage.Resources, Duration: plan.work, WritesCheckpoints: stage.Checkpoints}
	if stage.GangScheduled {
		profile.GangSize = stage.Count
	}
	if stage.LongRunning {
		profile.Duration = 0
	}
	if plan.alwaysFails {
		profile.Outcome = job.OutcomeFailed
	}
	return profile
}

// newJobPlan returns a job of the given kind with random properties.
func newJobPlan(random *rand.Rand, kind jobKind, route routePlan) jobPlan {
	plan := jobPlan{id: job.ID(fmt.Sprintf("%016x", random.Uint64())), kind: kind, route: route}
	plan.work = time.Duration(150+random.IntN(500)) * time.Millisecond
	plan.body = job.Specification{Text: fmt.Sprintf("do \"%s\"\n", plan.id), Stages: []job.Stage{plainStage(random, 1+random.IntN(3))}}
	first := &plan.body.Stages[0]
	switch kind {
	case multiStageJob:
		second, third := plainStage(random, 2), plainStage(random, 1)
		second.DependsOn, third.DependsOn = []int{0}, []int{0, 1}
		plan.body.Stages = append(plan.body.Stages, second, third)
	case gangJob:
		first.Count, first.GangScheduled, first.SameRack, first.Checkpoints = 3, true, random.IntN(2) == 0, true
		plan.work = 2500 * time.Millisecond
	case scheduledJob:
		plan.body.Repetitions, plan.body.IntervalMS = 3, 700
		plan.body.FirstRunMS = time.Now().Add(time.Second).UnixMilli()
		first.Count = 1
	case atLeastOnceJob:
		first.AtLeastOnce = true
	case longRunningJob:
		first.LongRunning, first.Count = true, 1
	case failingJob:
		plan.alwaysFails = true
	case cancelledJob:
		first.Checkpoints = true
		plan.work = 4 * time.Second
		plan.cancelAfter = time.Second
	case antiAffinityJob:
		first.Count, first.AntiAffinity, first.Checkpoints = 3, 1, true
		plan.work = 1200 * time.Millisecond
		plan.body.Stages = append(plan.body.Stages, plainStage(random, 1))
		plan.body.Stages[1].Requirements = job.Labels{"big"}
	}
	return plan
}

func plainStage(random *rand.Rand, count int) job.Stage {
	return job.Stage{
		Count: count, Resources: job.Resources{Processors: int64(500 + 500*random.IntN(3)), MemoryMB: 500}, EstimatedDurationMS: 400,
		Affinity: fmt.Sprintf("rack-%d", random.IntN(2)),
	}
}

// encode returns the job as its client sends it: as JSON without fields that are 0, false or empty.
func (p jobPlan) encode() []byte {
	content, err := json.Marshal(p.body)
	if err != nil {
		panic(err) // cannot happen: every type in a specification can be encoded
	}
	var fields any
	if err := json.Unmarshal(content, &fields); err != nil {
		panic(err)
	}
	content, err = json.Marshal(withoutEmpty(fields))
	if err != nil {
		panic(err)
	}
	return content
}

// withoutEmpty removes object fields that are null, 0, false or an empty string from a decoded JSON value. Elements of arrays
// are kept.
func withoutEmpty(value any) any {
	switch value := value.(type) {
	case map[string]any:
		for key, field := range value {
			if field == nil || field == false || field == "" || field == 0.0 {
				delete(value, key)
				continue
			}
			value[key] = withoutEmpty(field)
		}
	case []any:
		for i := range value {
			value[i] = withoutEmpty(value[i])
		}
	}
	return value
}
