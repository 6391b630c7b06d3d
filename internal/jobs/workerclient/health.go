package workerclient

// toleratedRefusals is the number of consecutive refused list calls that do not make a worker unreachable.
const toleratedRefusals = 1

// reachability is the reachability of a worker as observed by the calls so far. It determines whether commands and lease grants are sent
// at all. Changes are reported as ReachabilityChange.
type reachability uint8

const (
	reachabilityUnknown reachability = iota // no call has shown yet whether the worker responds
	reachable                               // the worker responds
	unreachable                             // too many calls got no response or were refused; only polls of the renewal loop are sent
)

// suspicion is the level of suspicion that a worker is unresponsive. Calls without a response since the last response raise it. It is
// independent of the reachability: a worker whose reachability is unknown can be suspected, too. No start is sent to a suspected worker.
type suspicion uint8

const (
	notSuspected      suspicion = iota
	weaklySuspected             // a command got no response
	stronglySuspected           // a renewal or poll got no response; another unanswered poll makes the worker unreachable
)

// health is the state machine of a worker's health as the link sees it. It does no I/O. The link's lock guards it.
//
//	event               suspicion                reachability
//	commandUnanswered   at least weaklySuspected -
//	renewalUnanswered   stronglySuspected        -
//	pollUnanswered      stronglySuspected        unreachable if it was stronglySuspected before
//	listRefused         notSuspected             unreachable after more than toleratedRefusals in a row
//	responded           notSuspected             reachable
//
// Some methods report whether the worker is now unreachable. The link then changes the reachability with Link.setReachability, which
// also applies the consequences of the change.
type health struct {
	reachability reachability
	suspicion    suspicion
	refusals     int // consecutive refused list calls
}

// commandUnanswered records a start or stop without a response.
func (h *health) commandUnanswered() { h.suspicion = max(h.suspicion, weaklySuspected) }

// renewalUnanswered records a lease renewal that failed or whose response is overdue. A poll then shows whether the worker responds.
func (h *health) renewalUnanswered() { h.suspicion = stronglySuspected }

// pollUnanswered records a poll without a response.
func (h *health) pollUnanswered() (nowUnreachable bool) {
	nowUnreachable = h.suspicion == stronglySuspected
	h.suspicion = stronglySuspected
	return nowUnreachable
}

// listRefused records a list call that was answered without the lists. A single refusal does not make the worker unreachable.
func (h *health) listRefused() (nowUnreachable bool) {
	h.refusals++
	h.suspicion = notSuspected
	return h.refusals > toleratedRefusals
}

// listed records a list call that returned the lists.
func (h *health) listed() { h.refusals = 0 }

// responded records a response to any call.
func (h *health) responded() { h.suspicion = notSuspected }

// setReachability sets the reachability and reports whether it has changed.
func (h *health) setReachability(to reachability) (changed bool) {
	changed = h.reachability != to
	h.reachability = to
	return changed
}
