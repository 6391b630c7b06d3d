package workerclient

// activity records whether the worker may have attempts or completions to report. It determines whether a renewal is a long poll and
// how often an idle worker is polled. It does no I/O. The link's lock guards it.
type activity struct {
	listed      bool // the worker has returned its lists at least once
	mayHaveWork bool // the worker may have attempts or unacknowledged completions
	longPolled  bool // the newest call of the renewal loop was a long poll
}

// observeLists updates the activity from the lists of a response. commandsAnswered reports whether all commands were answered before the
// lists were requested, so that no command can have started an attempt since.
func (a *activity) observeLists(lists *responseBody, commandsAnswered bool) {
	a.listed = true
	empty := len(lists.Running)+len(lists.Finished) == 0
	if !empty || commandsAnswered {
		a.mayHaveWork = !empty
	}
}
