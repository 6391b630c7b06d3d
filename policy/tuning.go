package policy

// The tuned values of the policy. A value that a setting states is taken from the settings instead. Where a unit says
// "usual latencies" or "soft deadlines", the value multiplies the running median latency or the index's deadline.
const (
	windowStart      = 4.0   // design: initial window: concurrent calls to one backend
	windowShrink     = 0.8   // multiplicative decrease after a slow answer: gentle, as a single slow one may be a pause
	windowShrinkMax  = 0.5   // largest decrease after a very slow answer; largest increase of a window below one call
	windowMin        = 0.3   // of a call: a subquery that would wait for more is better rejected
	usualStep        = 0.015 // step by which the usual latency follows the median, which a few unhealthy backends cannot move; of hints too
	usualMax         = 0.17  // of the shortest soft deadline
	smoothing        = 0.2   // weight of a new latency: about the last ten answers count
	estimateMemory   = 4.0   // soft deadlines: decay time of a latency estimate towards the average
	faultMemory      = 16.0  // soft deadlines: decay time of faults and of losses on idle connections
	crossCost        = 8.0   // what a price of 1 for crossing locations adds to a replica's cost, as a multiple of it
	crossIdle        = 40.0  // and adds, in usual latencies: counts among idle replicas, fades with load
	crossFault       = 20.0  // of that, times fault cost and share squared: no saved crossing outweighs a fault
	probeQueuedFrom  = 0.25  // of a usual latency: a probe that takes longer has waited
	probeFirstFrom   = 0.15  // share of failed or slow calls from which an aggregator probes before it sends
	unhealthyMemory  = 2.0   // soft deadlines over which that share is counted
	priorSamples     = 10.0  // weight of the prior of a mean, in samples
	aliveFor         = 0.25  // seconds for which an answer shows that a backend is alive
	canaryFrom       = 0.005 // share of calls ended by a crash of their backend from which a query sends a canary subquery first
	unprobedCost     = 4.0   // cost multiple of a backend not known to be alive, or where the subquery's last call failed
	idleMin          = 0.2   // seconds: shorter idle times of a connection are not suspected
	idleLossesFrom   = 1.0   // calls lost after such idle times before connections are closed for it
	idleAnswerCredit = 0.05  // of a lost call: credit for a call answered after an idle time
	idleShare        = 0.8   // of the idle time after which a call was lost: from there connections are closed before use
	sweepTimer       = TimerID(1)

	faultMost, faultPrior             = 4.0, 1.0    // samples: most in a backend's share of faults; weight of its location's share
	crossMost, crossSeen              = 0.45, 6.0   // idle crossing at most, and by aggregator: many see little of home
	slowStartMargin, slowStartLoad    = 0.8, 1.5    // of the overload rule's limit; load offered to a backend in slow start whose sibling is lost
	overloadFrom, overloadDrop        = 1.6, 0.5    // of the usual latency, recently: overload; share of the dispensable weight that is shed then
	usualUpTo, slowFrom               = 2.0, 2.5    // usual latencies: a faster answer widens the window; a slower one narrows it and counts as unhealthy
	hedgeFrom, hedgeSlack             = 4.0, 2.0    // of a sibling's latency: a call in flight for longer is hedged; multiple of it where probes tell less
	nearlyComplete, rejectedLatencies = 0.75, 8.0   // of the required weight: hedges come early from there; usual latencies that a rejection stands for
	silenceLatencies, silenceMin      = 4.0, 0.25   // usual latencies, and least share of a soft deadline, without any answer: the backend is silent
	sweepEvery, burstS                = 0.02, 2.0   // seconds between sweeps; seconds of its quota that a customer may use as a burst
	backoffFirst, backoffMax          = 0.25, 2.0   // seconds: backoff after a failed connect or list request, doubled up to the second
	restartFrom                       = 0.5         // seconds of backoff: after a longer one, a backend that answers may be a new process
	secondStepLatencies, sumSlack     = 2.5, 5e-5   // latencies that a second step takes; tolerance for rounded weights
	lowValue, overShare               = 0.35, 0.5   // of a soft deadline: how much earlier the least valued query must finish; one over its quota
	timeoutTolerance, timeoutVotesMax = 0.02, 100.0 // of a hard deadline: client timeouts that count as equal; most votes for the usual one
)

var faultCost = [...]float64{Idempotent: 6, Fingerprinted: 6, OnceOnly: 30} // a fault of a once-only call ends its query
