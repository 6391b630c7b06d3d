package main

import (
	"fmt"
	"strings"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// reasonTexts say why tasks wait.
var reasonTexts = map[jobreport.Reason]string{
	jobreport.ReasonDependsOn:    "earlier stages are not complete",
	jobreport.ReasonNotDue:       "the repetition is not due yet",
	jobreport.ReasonGangActive:   "runs of members of the gang are not over yet",
	jobreport.ReasonGangCapacity: "there is no room for all members of the gang at once",
	jobreport.ReasonBackoff:      "a short pause after a start that went wrong",
	jobreport.ReasonNoWorker:     "every searcher is ruled out",
	jobreport.ReasonQueueOrder:   "searchers could take it; its turn has not come",
}

// causeTexts say what rules a worker out.
var causeTexts = map[jobreport.Cause]string{
	jobreport.CauseMissingLabel:     "lack the label",
	jobreport.CauseTotalCapacity:    "are too small even when empty",
	jobreport.CauseDraining:         "are drained by the platform",
	jobreport.CauseOperatorDraining: "are drained by an operator",
	jobreport.CauseNotInInventory:   "are not in the platform's list",
	jobreport.CauseUnreachable:      "do not answer",
	jobreport.CauseNotFenced:        "have not confirmed the leader's fencing token yet",
	jobreport.CauseOrphans:          "have runs that are being stopped as nobody wants them",
	jobreport.CauseBackoff:          "rest for a moment after a refusal or a run that stood still",
	jobreport.CauseWindow:           "have as many runs as their window allows",
	jobreport.CauseFreeCapacity:     "have too little free",
	jobreport.CauseAntiAffinity:     "have as many tasks of the stage as antiAffinity allows",
	jobreport.CauseOther:            "are ruled out by something else",
}

func printWhy(why *jobreport.Explanation) {
	if len(why.WaitingStages) == 0 {
		fmt.Fprintf(stdout, "job %s is %s; nothing of it waits\n", why.ID, why.State)
		return
	}
	fmt.Fprintf(stdout, "job %s is %s\n", why.ID, why.State)
	for i := range why.WaitingStages {
		printWaiting(&why.WaitingStages[i])
	}
	if why.Truncated {
		fmt.Fprintln(stdout, "further stages wait")
	}
}

func printWaiting(w *jobreport.WaitingStage) {
	if w.Reason == jobreport.ReasonNotDue {
		fmt.Fprintf(stdout, "repetition %d: not due until %s\n", w.Repetition, formatUnixMilliseconds(w.DueMS))
		return
	}
	fmt.Fprintf(stdout, "repetition %d, stage %d: waiting tasks %d, each of %s: %s\n", w.Repetition, w.Stage, w.Tasks, resources(w.Request), reasonTexts[w.Reason])
	if w.Reason == jobreport.ReasonDependsOn {
		fmt.Fprintf(stdout, "  not complete: stages %v\n", w.DependsOn)
		return
	}
	fmt.Fprintf(stdout, "  waiting for %v; stages that come first: %d\n", milliseconds(w.WaitMS), w.StagesAhead)
	if len(w.OpenWorkers) > 0 {
		fmt.Fprintf(stdout, "  could take one: %s\n", strings.Join(w.OpenWorkers, " "))
	}
	if w.Reason == jobreport.ReasonNoWorker && len(w.Exclusions) == 0 {
		fmt.Fprintln(stdout, "  no searcher of the service is known: look at the platform's list")
	}
	for _, ruled := range w.Exclusions {
		more := choose(ruled.Count > len(ruled.Workers), " ...", "")
		fmt.Fprintf(stdout, "  %d %s (%s): %s%s\n", ruled.Count, causeTexts[ruled.Cause], ruled.Cause, strings.Join(ruled.Workers, " "), more)
	}
}
