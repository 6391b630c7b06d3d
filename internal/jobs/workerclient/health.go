package workerclient

// toleratedRefusals is how many calls for the lists in a row may be refused before a worker counts as unreachable.
const toleratedRefusals = 1

// contact is what the calls so far have shown about a worker. It decides whether commands and lease grants are sent at all, and its
// changes are reported as ReachabilityChange.
type contact uint8

const (
	untried     contact = iota // no call has shown anything yet
	reachable                  // the newest response came from the worker
	unreachable                // calls were left without a response, or refused, too often; only the renewal loop's polls are sent
)

// doubt is what calls without a response have raised since the last response. It is independent of the contact: a worker that was never
// reached can be in doubt, too.
type doubt uint8

const (
	confident doubt = iota
	doubtful        // a command got no response: no start is sent until a poll is answered
	suspected       // a renewal or a poll got none: likewise, and a further poll without one makes the worker unreachable
)

// health is the state machine of a link's view of its worker. It does no I/O; the link's lock guards it.
//
//	event               doubt                    contact
//	commandUnanswered   at least doubtful        -
//	renewalUnanswered   suspected                -
//	pollUnanswered      suspected                unreachable if it was suspected before
//	listRefused         confident                unreachable after more than toleratedRefusals in a row
//	responded           confident                reachable
//
// The methods return whether the worker is now to be taken as unreachable; the link then carries out the change of contact together with
// what follows from it (Link.setContact).
type health struct {
	contact  contact
	doubt    doubt
	refusals int // calls for the lists in a row that were answered without them
}

// commandUnanswered records a start or a stop without a response.
func (h *health) commandUnanswered() { h.doubt = max(h.doubt, doubtful) }

// renewalUnanswered records a lease renewal whose response is overdue, or that failed. A poll decides what that means.
func (h *health) renewalUnanswered() { h.doubt = suspected }

// pollUnanswered records a poll without a response.
func (h *health) pollUnanswered() (nowUnreachable bool) {
	nowUnreachable = h.doubt == suspected
	h.doubt = suspected
	return nowUnreachable
}

// listRefused records a call for the lists that was answered without them. A single one says little.
func (h *health) listRefused() (nowUnreachable bool) {
	h.refusals++
	h.doubt = confident
	return h.refusals > toleratedRefusals
}

// listed records a call for the lists that was answered with them.
func (h *health) listed() { h.refusals = 0 }

// responded records a response to any call.
func (h *health) responded() { h.doubt = confident }

// moveTo changes the contact and reports whether it was another one before.
func (h *health) moveTo(to contact) (changed bool) {
	changed = h.contact != to
	h.contact = to
	return changed
}
