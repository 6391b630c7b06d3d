package main

import (
	"fmt"
	"strings"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// reasonTexts maps the reasons for which tasks wait to texts for operators.
var reasonTexts = map[jobreport.Reason]string{
	jobreport.ReasonDependsOn:    "earlier stages are not complete",
	jobreport.ReasonNotDue:       "the repetition is not due yet",
	jobreport.ReasonGangActive:   "runs of members of the gang are not over yet",
	jobreport.ReasonGangCapacity: "there is no room for all members of the gang at once",
	jobreport.ReasonBackoff:      "a short pause after a start that went wrong",
	jobreport.ReasonNoWorker:     "every searcher is ruled out",
	jobreport.ReasonQueueOrder:   "searchers could take it; its turn has not come",
}

// causeTexts maps the causes for which workers are excluded to texts for operators.
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

func printWhy(explanation *jobreport.Explanation) {
	if len(explanation.WaitingStages) == 0 {
		fmt.Fprintf(stdout, "job %s is %s; nothing of it waits\n", explanation.ID, explanation.State)
		return
	}
	fmt.Fprintf(stdout, "job %s is %s\n", explanation.ID, explanation.State)
	for i := range explanation.WaitingStages {
		printWaiting(&explanation.WaitingStages[i])
	}
	if explanation.Truncated {
		fmt.Fprintln(stdout, "further stages wait")
	}
}

func printWaiting(stage *jobreport.WaitingStage) {
	if stage.Reason == jobreport.ReasonNotDue {
		fmt.Fprintf(stdout, "repetition %d: not due until %s\n", stage.Repetition, formatUnixMilliseconds(stage.DueMS))
		return
	}
	fmt.Fprintf(stdout, "repetition %d, stage %d: waiting tasks %d, each of %s: %s\n", stage.Repetition, stage.Stage, stage.Tasks, formatResources(stage.Request), reasonTexts[stage.Reason])
	if stage.Reason == jobreport.ReasonDependsOn {
		fmt.Fprintf(stdout, "  not complete: stages %v\n", stage.DependsOn)
		return
	}
	fmt.Fprintf(stdout, "  waiting for %v; stages that come first: %d\n", millisecondsToDuration(stage.WaitMS), stage.StagesAhead)
	if len(stage.AcceptingWorkers) > 0 {
		fmt.Fprintf(stdout, "  could take one: %s\n", strings.Join(stage.AcceptingWorkers, " "))
	}
	if stage.Reason == jobreport.ReasonNoWorker && len(stage.Exclusions) == 0 {
		fmt.Fprintln(stdout, "  no searcher of the service is known: look at the platform's list")
	}
	for _, exclusion := range stage.Exclusions {
		more := choose(exclusion.Count > len(exclusion.Workers), " ...", "")
		fmt.Fprintf(stdout, "  %d %s (%s): %s%s\n", exclusion.Count, causeTexts[exclusion.Cause], exclusion.Cause, strings.Join(exclusion.Workers, " "), more)
	}
}
