package controlmodel

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	defaultIdentitySchedules           = 200
	identitySchedulesUnderRaceDetector = 10
	identitySchedulesVariable          = "PUFFINLINK_IDENTITY_SCHEDULES" // overrides the number of schedules
	identitySeedVariable               = "PUFFINLINK_IDENTITY_SEED"      // runs only the schedule with this seed
)

// callKind is a call of a client about a job, by what it has done before.
type callKind string

const (
	firstSubmission    callKind = "POST"
	laterSubmission    callKind = "POST again"
	submissionAfter    callKind = "POST after DELETE"
	stateRead          callKind = "GET"
	pendingRead        callKind = "GET PREFIX"
	earlyCancellation  callKind = "DELETE before POST"
	cancellationDuring callKind = "DELETE while unclear"
	cancellationAfter  callKind = "DELETE after 200"
)

var identityCallKinds = []callKind{firstSubmission, laterSubmission, submissionAfter, stateRead, pendingRead, earlyCancellation, cancellationDuring, cancellationAfter}

var identityChanges = []queueChange{queueStays, queueMoves, queueLeaves, queueReturns, queueNests}

// callKind returns the kind of a call that is sent now.
func (s *simulation) callKind(method, path string) callKind {
	submitted, accepted, cancelled := s.judge.was(path)
	switch {
	case method == http.MethodGet:
		return stateRead
	case method == http.MethodPost && cancelled:
		return submissionAfter
	case method == http.MethodPost && submitted:
		return laterSubmission
	case method == http.MethodPost:
		return firstSubmission
	case accepted:
		return cancellationAfter
	case submitted:
		return cancellationDuring
	}
	return earlyCancellation
}

// pair is a call beside a change of the configuration and a disruption.
type pair struct {
	call       callKind
	change     queueChange
	disruption disruption
}

// pairCounts counts the calls by what they met.
type pairCounts struct {
	mutex  sync.Mutex
	counts map[pair]int
}

func newPairCounts() *pairCounts { return &pairCounts{counts: map[pair]int{}} }

func (p *pairCounts) count(call callKind, change queueChange, disruptions []disruption) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, disturbed := range disruptions {
		p.counts[pair{call, change, disturbed}]++
	}
}

func (p *pairCounts) add(other *pairCounts) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for met, count := range other.counts {
		p.counts[met] += count
	}
}

// table returns the counts as a table of the documentation: a row for each call and change, a column for each disruption.
func (p *pairCounts) table() string {
	var text strings.Builder
	fmt.Fprint(&text, "| call | queue")
	for _, kind := range identityDisruptions {
		fmt.Fprint(&text, " | ", kind)
	}
	fmt.Fprintln(&text, " |\n| --- | ---"+strings.Repeat(" | ---", len(identityDisruptions))+" |")
	for _, call := range identityCallKinds {
		for _, change := range identityChanges {
			fmt.Fprint(&text, "| ", call, " | ", change)
			for _, kind := range identityDisruptions {
				fmt.Fprint(&text, " | ", p.counts[pair{call, change, kind}])
			}
			fmt.Fprintln(&text, " |")
		}
	}
	return text.String()
}

// missing returns the pairs that did not occur.
func (p *pairCounts) missing() []pair {
	var missing []pair
	for _, call := range identityCallKinds {
		for _, change := range identityChanges {
			for _, kind := range identityDisruptions {
				if met := (pair{call, change, kind}); p.counts[met] == 0 {
					missing = append(missing, met)
				}
			}
		}
	}
	return missing
}

// An ID is one job at every front, under any change of the configuration and any delay: queues move, leave, return and hide one another, clients
// submit again, leave and cancel at any moment, and fronts, leaders and links fail meanwhile. Guards against the class of faults of the
// second review. Set the environment variable identitySeedVariable to run one schedule.
func TestJobsKeepTheirIdentityInSeededSchedules(t *testing.T) {
	total, answers := newPairCounts(), &checkCounts{counts: map[string]int{}}
	seeds := scheduleSet{defaultIdentitySchedules, identitySchedulesUnderRaceDetector, identitySchedulesVariable, identitySeedVariable}
	count := seeds.play(t, func(t *testing.T, seed uint64) { runIdentitySchedule(t, seed, total, answers) })
	t.Logf("%d schedules, answers %v\n%s", count, answers.counts, total.table())
	if missing := total.missing(); count >= defaultIdentitySchedules && len(missing) > 0 {
		t.Errorf("%d pairs did not occur: %v", len(missing), missing)
	}
}

func runIdentitySchedule(t *testing.T, seed uint64, total *pairCounts, answers *checkCounts) {
	virtualtime.Test(t, func(t *testing.T) {
		s := newIdentitySimulation(seed)
		for _, violation := range s.runIdentity() {
			t.Errorf("seed %d: %s\n%v", seed, violation, s)
		}
		total.add(s.pairs)
		answers.add(s.judge.answerCounts())
	})
}

// answerCounts returns the number of answers by method and status.
func (j *identityJudge) answerCounts() map[string]int {
	counts := map[string]int{}
	for _, call := range j.calls {
		counts[fmt.Sprint(call.method, " ", call.status)]++
	}
	return counts
}
