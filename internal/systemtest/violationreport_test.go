package systemtest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// summary holds counts of what a history contains. It is logged to show that there was something to check.
type summary struct {
	Attempts, Acknowledged, UnknownSender int
	LeaseExpiries, Checkpoints            int
	Inventories                           int
	Requests, AbortedRequests             int // requests of clients
	OperatorRequests                      int
	Outcomes                              map[string]int // numbers of attempts, by outcome
	Answers                               map[int]int    // numbers of answers to clients, by status
}

func summarize(h checker.History) summary {
	result := summary{
		Attempts: len(h.Attempts), LeaseExpiries: len(h.LeaseExpiries), Checkpoints: len(h.Checkpoints), Inventories: len(h.Inventories), Requests: len(h.Requests),
		OperatorRequests: len(h.OperatorRequests), AbortedRequests: len(h.AbortedRequests), Outcomes: map[string]int{}, Answers: map[int]int{},
	}
	for _, attempt := range h.Attempts {
		result.Outcomes[attempt.Outcome]++
		if !attempt.AcknowledgedAt.IsZero() {
			result.Acknowledged++
		}
		if attempt.Sender == "" {
			result.UnknownSender++
		}
	}
	for _, request := range h.Requests {
		result.Answers[request.Status]++
	}
	return result
}

// writeViolationReport writes the violations to violations.txt, followed by all events that concern their subjects in the
// order of time.
func (s *system) writeViolationReport(h checker.History, result outcome) {
	if len(result.violations) == 0 {
		return
	}
	var text strings.Builder
	for _, violation := range result.violations {
		fmt.Fprintln(&text, violation)
	}
	var lines []reportedEvent
	for _, subject := range subjects(result.violations) {
		lines = append(lines, s.eventsOf(h, subject)...)
	}
	slices.SortStableFunc(lines, func(a, b reportedEvent) int { return a.at.Compare(b.at) })
	for _, event := range lines {
		fmt.Fprintln(&text, event.at.Format("15:04:05.000"), event.text)
	}
	os.WriteFile(filepath.Join(s.folder, "violations.txt"), []byte(text.String()), 0o644)
}

// reportedEvent is one event in a violation report.
type reportedEvent struct {
	at   time.Time
	text string
}

// subjects returns the subjects of violations, such as job identifiers, without duplicates.
func subjects(violations []checker.Violation) []string {
	var found []string
	for _, violation := range violations {
		id, _, _ := strings.Cut(violation.Subject, ".")
		if !slices.Contains(found, id) {
			found = append(found, id)
		}
	}
	return found
}

// eventsOf returns the events that concern a subject, and all faults.
func (s *system) eventsOf(h checker.History, id string) []reportedEvent {
	var lines []reportedEvent
	for _, fault := range h.Faults {
		lines = append(lines, reportedEvent{fault.From, "fault of " + fault.Machine + " until " + fault.To.Format("15:04:05.000")})
	}
	for _, request := range h.Requests {
		if strings.Contains(request.Path, id) {
			text := fmt.Sprintf("%s %s at %s: %d %s", request.Method, request.Path, request.Machine, request.Status, request.Answer)
			lines = append(lines, reportedEvent{request.AnsweredAt, text})
		}
	}
	for _, attempt := range h.Attempts {
		if strings.HasPrefix(attempt.Task, id) {
			lines = append(lines, reportedEvent{attempt.StartedAt, fmt.Sprintf("attempt %+v", attempt)})
		}
	}
	for _, recorded := range s.recorder.calls {
		if strings.Contains(string(recorded.call.body), id) || strings.Contains(string(recorded.call.answer), id) {
			text := fmt.Sprintf("%s -> %s %s %s: %d %s", recorded.call.from, recorded.call.to, recorded.call.path, recorded.call.body, recorded.call.status, recorded.call.answer)
			lines = append(lines, reportedEvent{recorded.at, text})
		}
	}
	for _, request := range h.OperatorRequests {
		if strings.HasPrefix(id, "version") || strings.HasPrefix(id, "/") {
			text := fmt.Sprintf("%s %s on %d at %s: %d %s", request.Method, request.Body, request.BuiltOn, request.Machine, request.Status, request.Answer)
			lines = append(lines, reportedEvent{request.AnsweredAt, text})
		}
	}
	return lines
}
