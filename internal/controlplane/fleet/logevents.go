package fleet

// Log texts that docs/operators/fleet.md names. They stay when the code's terms change: a mixer is an aggregator, the council the
// group of voters, floors are minimums.
const (
	logNotOpened          = "fleet: not open, no floors and no leases until it is"
	logVoterJoined        = "fleet: this voter takes part in the council"
	logLeadershipBegan    = "fleet: this mixer leads the council"
	logIncarnationStale   = "fleet: another process spoke under this name, or the clock went back"
	logOutlierDetected    = "fleet: judged by others"
	textConsensusPanicked = "the council's library gave up"
)
