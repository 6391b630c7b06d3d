package policy

// Tuned values of the policy. Values that the settings state are not listed here.
//
// Many values are multiples of the median latency, which is the running median over all backends, or of a soft deadline of
// the indexes.
const (
	// initialWindow is the initial window of a backend, in concurrent calls. The design prescribes it.
	initialWindow = 4.0

	// windowShrinkFactor multiplies a window after a slow answer. It is close to 1 because a single slow answer may be due
	// to a short pause.
	windowShrinkFactor = 0.8

	// maxWindowShrinkFactor multiplies a window after a very slow answer. It also limits the growth of a window below one
	// call, as a share of the window.
	maxWindowShrinkFactor = 0.5

	// minWindow is the smallest window, in calls. A subquery that would have to wait for a smaller one is better rejected.
	minWindow = 0.3

	// movingMedianStep is the relative step by which the running median latency changes with each answer. A few unhealthy
	// backends cannot move the median far. It is also the weight of a new sample in the means of work hints.
	movingMedianStep = 0.015

	// maxMedianLatency limits the running median latency, as a share of the shortest soft deadline.
	maxMedianLatency = 0.17

	// latencySmoothing is the weight of a new sample in a backend's latency. About the last ten answers count.
	latencySmoothing = 0.2

	// estimateDecay is the time constant with which a latency estimate decays to the average, in soft deadlines.
	estimateDecay = 4.0

	// faultDecay is the time constant for the records of faults and of calls lost on idle connections, in soft deadlines.
	faultDecay = 16.0

	// crossLocationCost is the relative cost that a price of 1 for crossing locations adds to a replica.
	crossLocationCost = 8.0

	// crossLocationIdleCost is the constant cost that a price of 1 for crossing locations adds, in median latencies. It
	// separates idle replicas and becomes negligible as load grows.
	crossLocationIdleCost = 40.0

	// crossLocationFaultCost is the cost of faults at a price of 1 for crossing locations, in median latencies. It is
	// multiplied by the index's fault cost and by the squared share of faults, so that a saved crossing never outweighs a
	// fault.
	crossLocationFaultCost = 20.0

	// queuedProbeThreshold is a share of the median latency. A probe that takes longer has waited in the backend's queue.
	queuedProbeThreshold = 0.25

	// probeFirstThreshold is the share of failed or slow calls above which an aggregator probes a backend before sending.
	probeFirstThreshold = 0.15

	// unhealthyDecay is the time constant for the share of failed or slow calls, in soft deadlines.
	unhealthyDecay = 2.0

	// priorSamples is the weight of a mean's prior, in samples.
	priorSamples = 10.0

	// aliveTimeout is the time, in seconds, for which an answer proves that a backend is alive.
	aliveTimeout = 0.25

	// canaryThreshold is the share of calls ended by a crash of their backend above which a query sends a canary subquery.
	canaryThreshold = 0.005

	// unprobedCostFactor multiplies the cost of a backend that is not known to be alive, or on which the subquery's last
	// call failed.
	unprobedCostFactor = 4.0

	// minSuspectIdleTime is the shortest idle time, in seconds, after which a lost call is blamed on its connection.
	minSuspectIdleTime = 0.2

	// idleLossThreshold is the number of calls lost on idle connections above which connections are closed before use.
	idleLossThreshold = 1.0

	// idleAnswerCredit is subtracted from that number for each call answered on an idle connection.
	idleAnswerCredit = 0.05

	// idleLimitShare is a share of the idle time after which a call was lost. Connections that were idle for longer than
	// this share are closed before use.
	idleLimitShare = 0.8

	// sweepTimer identifies the timer of the periodic sweep.
	sweepTimer = TimerID(1)

	// maxFaultSamples is the most samples that count in a backend's share of faults.
	maxFaultSamples = 4.0

	// faultPriorSamples is the weight, in samples, of the location's share of faults in that of a backend.
	faultPriorSamples = 1.0

	// crossLocationIdleCap limits the constant cost of crossing locations, in median latencies.
	crossLocationIdleCap = 0.45

	// crossLocationIdleCapShared, divided by the number of aggregators, is added to that limit. One of many aggregators
	// observes little of the load at its own location, so crossing costs less for it.
	crossLocationIdleCapShared = 6.0

	// slowStartMargin is the share of the overload rule's limit that is used during slow start.
	slowStartMargin = 0.8

	// slowStartOfferedLoad is the load assumed to be offered to a backend in slow start whose sibling is lost. Its unit is
	// the backend's capacity.
	slowStartOfferedLoad = 1.5

	// overloadThreshold is a multiple of the median latency. A higher mean of recent latencies means overload.
	overloadThreshold = 1.6

	// overloadShedShare is the share of a query's dispensable weight that is shed under overload.
	overloadShedShare = 0.5

	// fastLatencyLimit is a multiple of the median latency. A faster answer widens the window.
	fastLatencyLimit = 2.0

	// slowLatencyThreshold is a multiple of the median latency. A slower answer shrinks the window and counts as unhealthy.
	slowLatencyThreshold = 2.5

	// hedgeDelay is a multiple of a sibling's expected latency. A call in flight for longer is hedged.
	hedgeDelay = 4.0

	// hedgeDelayFactor multiplies that delay where probes do not wait in the backends' queues and so tell less.
	hedgeDelayFactor = 2.0

	// nearlyCompleteShare is the share of the required weight from which hedges are sent without the longer delay.
	nearlyCompleteShare = 0.75

	// rejectionLatency is the latency that a rejected call counts as, in median latencies.
	rejectionLatency = 8.0

	// unresponsiveTimeout is the time without any answer after which a backend is unresponsive, in median latencies.
	unresponsiveTimeout = 4.0

	// minUnresponsiveTimeout is the least value of that time, as a share of the longest soft deadline.
	minUnresponsiveTimeout = 0.25

	// sweepInterval is the time between two sweeps, in seconds.
	sweepInterval = 0.02

	// quotaBurstS is the number of seconds of its quota that a customer may use in one burst.
	quotaBurstS = 2.0

	// initialBackoff is the backoff after a failed connect or list request, in seconds. It doubles with each failure.
	initialBackoff = 0.25

	// maxBackoff is the longest such backoff, in seconds.
	maxBackoff = 2.0

	// restartBackoff is a backoff in seconds. A backend that answers after a longer one may be a new process.
	restartBackoff = 0.5

	// secondStepTime is the time that a second step takes, in latencies.
	secondStepTime = 2.5

	// weightTolerance is the tolerance for rounding errors in sums of weights.
	weightTolerance = 5e-5

	// lowValueMargin is the share of the soft deadline by which a query of no value must finish earlier.
	lowValueMargin = 0.35

	// overQuotaMargin is the share of the soft deadline by which a query of a customer over its quota must finish earlier.
	overQuotaMargin = 0.5

	// timeoutTolerance is the share of the hard deadline within which two client timeouts count as equal.
	timeoutTolerance = 0.02

	// maxTimeoutVotes is the most votes that the timeout of most clients may hold.
	maxTimeoutVotes = 100.0
)

// faultCostByEffect is the relative cost of a share of faults of 1. A fault of a once-only call ends its query.
var faultCostByEffect = [...]float64{Idempotent: 6, Deduplicated: 6, AtMostOnce: 30}
