package manager

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// logEventOfEachKind logs one event of each kind with a logger of the given level, and returns the logged entries.
func logEventOfEachKind(level zapcore.Level) []observer.LoggedEntry {
	core, logged := observer.New(level)
	l := &leadership{config: Config{Log: zap.New(core)}, term: &replication.Term{}}
	id := job.ID("00000000000000aa")
	task := job.TaskID{Job: id, Stage: 1, Index: 2}
	l.traceSubmit(&jobapi.SubmitRequest{ID: id})
	for _, fate := range []commandFate{commandSent, commandDropped} {
		l.traceCommand(&scheduler.Command{Worker: "i-1", Start: &workerclient.StartCommand{Task: task, AttemptNumber: 1}}, fate)
		l.traceCommand(&scheduler.Command{Worker: "i-1", Stop: &workerclient.StopCommand{Task: task, AttemptNumber: 1}}, fate)
	}
	l.traceCompletions(&workerclient.Listing{Worker: "i-1", Finished: []workerclient.FinishedTask{{Task: task, AttemptNumber: 1, Outcome: job.OutcomeDone}}})
	groupScheduler, err := scheduler.New(scheduler.Settings{}, scheduler.Now{}, nil)
	So(err, ShouldBeNil)
	groupScheduler.Submit(scheduler.Now{}, &jobapi.SubmitRequest{ID: id, Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}})
	groupScheduler.Cancel(scheduler.Now{}, id)
	effects := groupScheduler.TakeEffects()
	l.traceEndedJobs(&effects)
	return logged.All()
}

func TestDebugLogNamesJobOrTaskOfEachEvent(t *testing.T) {
	Convey("At debug level, the log names the job or task of each event", t, func() {
		var texts []string
		for _, entry := range logEventOfEachKind(zapcore.DebugLevel) {
			fields := entry.ContextMap()
			for _, name := range []string{"job", "task"} {
				if value, found := fields[name]; found {
					texts = append(texts, entry.Message+" "+value.(string))
				}
			}
		}
		So(texts, ShouldResemble, []string{
			"job submitted 00000000000000aa",
			"start sent 00000000000000aa.0.1.2",
			"stop sent 00000000000000aa.0.1.2",
			"start dropped 00000000000000aa.0.1.2",
			"stop dropped 00000000000000aa.0.1.2",
			"attempt completed 00000000000000aa.0.1.2",
			"job ended 00000000000000aa",
		})
	})
	Convey("At info level, nothing is logged", t, func() { So(logEventOfEachKind(zapcore.InfoLevel), ShouldBeEmpty) })
}
