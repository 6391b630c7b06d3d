package lab

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// Bounds of a searcher that only the stand-ins use.
const (
	saveEvery   = time.Second            // save_s
	restoreTime = 600 * time.Millisecond // restore_ms
)

// Profile tells a searcher what a task uses and how it behaves.
type Profile struct {
	Resources   job.Resources
	Duration    time.Duration // 0 means until it is stopped
	Fails       bool          // it ends as failed and not as done
	GangSize    int           // number of members; 0 for a task outside a gang
	Checkpoints bool
}

// Run is one run of a task at a searcher, as the searcher sees it.
type Run struct {
	Searcher     string
	Task         job.TaskID
	Execution    uint64
	FencingToken uint64
	Checkpointed string // in its start order
	StartedAt    time.Time
	EndedAt      time.Time // zero while it runs
	End          job.Outcome

	searcher *searcher
	profile  Profile
	number   uint64        // of its end
	workFrom time.Time     // zero while it waits for the others of its gang
	restored time.Duration // progress that it started with
	saved    string
	timer    *time.Timer
}

// farm is the set of all searchers. Its lock guards their state, as a gang spans several of them.
type farm struct {
	profile func(task job.TaskID, specification string) Profile

	mutex     sync.Mutex
	searchers []*searcher
	runs      []*Run
}

// Runs returns copies of all runs so far, in the order of their starts.
func (f *farm) Runs() []Run {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	runs := make([]Run, len(f.runs))
	for i, run := range f.runs {
		runs[i] = *run
	}
	return runs
}

// after calls a function with the lock held, unless the run has ended by then or got another timer.
func (r *Run) after(delay time.Duration, call func()) {
	if r.timer != nil {
		r.timer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(delay, func() {
		r.searcher.farm.mutex.Lock()
		defer r.searcher.farm.mutex.Unlock()
		if r.EndedAt.IsZero() && r.timer == timer {
			call()
		}
	})
	r.timer = timer
}

// begin adds the run to its searcher. A gang begins to work when all its members are there. The lock must be held.
func (r *Run) begin() {
	f := r.searcher.farm
	f.runs = append(f.runs, r)
	r.searcher.running = append(r.searcher.running, r)
	r.restored, r.saved = progressOf(r.Checkpointed), r.Checkpointed
	members := []*Run{r}
	if r.profile.GangSize > 0 {
		if members = f.gangOf(r); len(members) < r.profile.GangSize {
			r.after(GangTime, func() { r.end("alone") })
			return
		}
	}
	for _, member := range members {
		member.work()
	}
}

// work starts the run's progress.
func (r *Run) work() {
	restore := time.Duration(0)
	if r.Checkpointed != "" {
		restore = restoreTime
	}
	r.workFrom = time.Now().Add(restore)
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.profile.Duration == 0 {
		return
	}
	r.after(restore+max(0, r.profile.Duration-r.restored), func() {
		switch {
		case r.profile.Fails:
			r.end(job.OutcomeFailed)
		case r.profile.GangSize > 0:
			for _, member := range r.searcher.farm.gangOf(r) {
				member.end(job.OutcomeDone)
			}
		default:
			r.end(job.OutcomeDone)
		}
	})
}

// end ends the run and lists its end. Unless it is done, it breaks a gang that has begun to work.
func (r *Run) end(how job.Outcome) {
	if !r.EndedAt.IsZero() {
		return
	}
	r.saved = r.checkpoint(how == job.OutcomeStopped)
	r.EndedAt, r.End = time.Now(), how
	s := r.searcher
	s.running = slices.DeleteFunc(s.running, func(other *Run) bool { return other == r })
	s.lastNumber++
	r.number = s.lastNumber
	s.finished = append(s.finished, r)
	s.highest[r.Task] = max(s.highest[r.Task], r.Execution)
	close(s.ended)
	s.ended = make(chan struct{})
	if how == job.OutcomeDone || r.profile.GangSize == 0 || r.workFrom.IsZero() {
		return
	}
	for _, member := range s.farm.gangOf(r) {
		member.end(job.OutcomeGangBroken)
	}
}

// gangOf returns the running members of a run's gang.
func (f *farm) gangOf(r *Run) []*Run {
	var members []*Run
	for _, s := range f.searchers {
		for _, other := range s.running {
			same := other.Task.Job == r.Task.Job && other.Task.Repetition == r.Task.Repetition && other.Task.Stage == r.Task.Stage
			if same && other.Execution == r.Execution {
				members = append(members, other)
			}
		}
	}
	return members
}

func (r *Run) progress() time.Duration {
	if r.workFrom.IsZero() {
		return r.restored
	}
	return r.restored + max(0, time.Since(r.workFrom))
}

func (r *Run) percent() int {
	if r.profile.Duration == 0 {
		return 0
	}
	return int(min(99, 100*r.progress()/r.profile.Duration))
}

// checkpoint returns the newest checkpoint: of the present moment, or of the last full save interval.
func (r *Run) checkpoint(now bool) string {
	progress := r.progress()
	if !now {
		progress = r.restored + (progress - r.restored).Truncate(saveEvery)
	}
	if !r.profile.Checkpoints || progress == r.restored {
		return r.saved
	}
	digest := fnv.New32a()
	digest.Write([]byte(r.Task.String()))
	return fmt.Sprintf("%08x%08x", progress.Milliseconds(), digest.Sum32())
}

// progressOf returns the progress that a checkpoint holds in its first eight digits.
func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	milliseconds, err := strconv.ParseUint(checkpoint[:8], 16, 32)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
