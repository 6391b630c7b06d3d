package workerclient

// activity is what a link knows about whether its worker has anything to report. It decides whether a renewal waits at the worker (a long
// poll) and how long an idle worker is left alone. It does no I/O; the link's lock guards it.
type activity struct {
	listed      bool // the worker has answered a call with its lists
	mayHaveWork bool // it may have attempts, or completions that are not acknowledged
	longPolled  bool // the newest call of the renewal loop was a long poll
}

// received takes in the lists of a response; commandsAnswered is whether all commands were answered before it was requested, so that none of
// them can have begun an attempt since.
func (a *activity) received(lists *responseBody, commandsAnswered bool) {
	a.listed = true
	empty := len(lists.Running)+len(lists.Finished) == 0
	if !empty || commandsAnswered {
		a.mayHaveWork = !empty
	}
}
