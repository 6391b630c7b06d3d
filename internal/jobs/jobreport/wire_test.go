package jobreport

import (
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "summary request", Value: new(SummaryRequest)},
		goldentest.Form{Name: "summary reply", Value: new(SummaryReply)},
		goldentest.Form{Name: "searchers request", Value: new(SearchersRequest)},
		goldentest.Form{Name: "searchers reply", Value: new(SearchersReply)},
		goldentest.Form{Name: "jobs request", Value: new(JobsRequest)},
		goldentest.Form{Name: "jobs reply", Value: new(JobsReply)},
		goldentest.Form{Name: "job request", Value: new(JobRequest)},
		goldentest.Form{Name: "job reply", Value: new(JobReply)},
		goldentest.Form{Name: "why request", Value: new(WhyRequest)},
		goldentest.Form{Name: "why reply", Value: new(WhyReply)},
		goldentest.Form{Name: "drain request", Value: new(DrainRequest)},
		goldentest.Form{Name: "drain reply", Value: new(DrainReply)},
		goldentest.Form{Name: "summary", Value: new(Summary)},
		goldentest.Form{Name: "searcher", Value: new(Searcher)},
		goldentest.Form{Name: "task counts", Value: new(TaskCounts)},
		goldentest.Form{Name: "job", Value: new(Job)},
		goldentest.Form{Name: "run", Value: new(Run)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
		goldentest.Form{Name: "job detail", Value: new(JobDetail)},
		goldentest.Form{Name: "ruled out", Value: new(RuledOut)},
		goldentest.Form{Name: "waiting", Value: new(Waiting)},
		goldentest.Form{Name: "why", Value: new(Why)},
	)
	goldentest.Check(t, goldentest.JSON,
		goldentest.Form{Name: "summary", Value: new(Summary)},
		goldentest.Form{Name: "searcher", Value: new(Searcher)},
		goldentest.Form{Name: "task counts", Value: new(TaskCounts)},
		goldentest.Form{Name: "job", Value: new(Job)},
		goldentest.Form{Name: "run", Value: new(Run)},
		goldentest.Form{Name: "stage", Value: new(Stage)},
		goldentest.Form{Name: "failure", Value: new(Failure)},
		goldentest.Form{Name: "job detail", Value: new(JobDetail)},
		goldentest.Form{Name: "ruled out", Value: new(RuledOut)},
		goldentest.Form{Name: "waiting", Value: new(Waiting)},
		goldentest.Form{Name: "why", Value: new(Why)},
	)
}
