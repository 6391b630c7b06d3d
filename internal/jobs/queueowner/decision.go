package queueowner

import (
	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// Verdict is the kind of a Decision.
type Verdict uint8

const (
	// MayAct means that the group may act for the ID once all groups in Decision.Others have been asked.
	MayAct Verdict = iota
	// Released means that the queue belongs to another group.
	Released
	// Behind means that this node must learn a newer configuration before it can decide.
	Behind
)

// Decision says whether a group may act for an ID that it does not know.
type Decision struct {
	Verdict Verdict
	// Since is the version in which the group's tenure began. The other groups must have released the queue up to it. Set for MayAct.
	Since uint64
	// Others are the tenures of the other services that have or had the queue. Set for MayAct.
	Others []configuration.Tenure
	// Needed is the version of the configuration that this node must learn at least. Set for Behind.
	Needed uint64
}

// Decide decides whether the group of a service may act for an ID of a queue that the group does not know. The minimum version is that of
// the group. The caller's version is that of the configuration by which the caller chose the group; 0 if the caller did not say.
func Decide(queues *configuration.QueueDirectory, service string, queue queuekey.Key, minimumVersion, callerVersion uint64) Decision {
	if queues.Version() < minimumVersion {
		return Decision{Verdict: Behind, Needed: minimumVersion}
	}
	tenure, found := queues.Latest(queue, service)
	switch {
	case found && (!tenure.Ended() || tenure.Until > minimumVersion):
		return Decision{Verdict: MayAct, Since: tenure.Since, Others: queues.Others(queue, service)}
	case queues.Version() < callerVersion:
		return Decision{Verdict: Behind, Needed: callerVersion}
	}
	return Decision{Verdict: Released}
}
