package fleet

import (
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failuredetector"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
)

// staleNotifyInterval is the shortest time, in seconds, between two notifications to a node that its incarnation is stale.
const staleNotifyInterval = 1.0

// receive authenticates a message and passes it to the handler for its kind. It counts and drops a message that cannot be
// authenticated or decoded. To the sender such a message is lost.
func (f *Fleet) receive(sealed []byte) {
	if f.detector == nil {
		return
	}
	message, verdict := f.sealer.Open(f.now, sealed)
	if verdict != sealedmessage.Accepted {
		f.counters.Add("fleet_dropped", verdict.String(), 1)
		if verdict == sealedmessage.OldIncarnation && f.now-f.staleNotifiedAt[message.From] >= staleNotifyInterval {
			f.staleNotifiedAt[message.From] = f.now
			f.send(message.From, messageStaleIncarnation, staleIncarnation{f.sealer.KnownIncarnation(message.From)})
		}
		return
	}
	f.detector.RecordContact(f.now, message.From)
	handle := handlers[message.Kind]
	if handle == nil {
		f.counters.Add("fleet_dropped", "unknown_kind", 1)
		return
	}
	if err := handle(f, message.From, message.Body); err != nil {
		f.counters.Add("fleet_dropped", "unreadable", 1)
		f.logger.Warn("fleet message dropped", zap.String("member", string(message.From)), zap.Uint8("kind", uint8(message.Kind)), zap.Error(err))
	}
}

// decodingHandler returns a handler that decodes the body and passes the result to handle.
func decodingHandler[T any](handle func(*Fleet, membership.Name, *T)) func(*Fleet, membership.Name, []byte) error {
	return func(f *Fleet, from membership.Name, body []byte) error {
		v, err := decode[T](body)
		if err == nil {
			handle(f, from, &v)
		}
		return err
	}
}

// handlers maps the kind of a message to its handler.
var handlers map[sealedmessage.Kind]func(*Fleet, membership.Name, []byte) error

func init() {
	handlers = map[sealedmessage.Kind]func(*Fleet, membership.Name, []byte) error{
		messageFailureDetector:  decodingHandler((*Fleet).receiveFailureDetector),
		messageConsensus:        (*Fleet).receiveConsensus,
		messageIntroduction:     decodingHandler((*Fleet).receiveIntroduction),
		messageGrantRequest:     decodingHandler((*Fleet).receiveGrantRequest),
		messageGrantResponse:    decodingHandler((*Fleet).receiveGrantResponse),
		messageReports:          decodingHandler((*Fleet).receiveReports),
		messageCommandRequest:   decodingHandler((*Fleet).receiveCommand),
		messageCommandResponse:  decodingHandler((*Fleet).receiveCommandResponse),
		messageStaleIncarnation: decodingHandler((*Fleet).receiveStaleIncarnation),
	}
}

func (f *Fleet) receiveFailureDetector(from membership.Name, message *failuredetector.Message) {
	f.detector.Receive(f.now, from, message)
	f.sendFailureDetector()
}

// receiveStaleIncarnation raises this node's incarnation. It is stale because another process sent messages under this node's
// name, or because the clock was set back.
func (f *Fleet) receiveStaleIncarnation(from membership.Name, stale *staleIncarnation) {
	f.logger.Error("fleet incarnation stale", zap.String("member", string(from)), zap.Uint64("known", uint64(stale.Highest)))
	f.sealer.RaiseIncarnation(stale.Highest)
	f.saveTables()
}

func (f *Fleet) send(to membership.Name, kind sealedmessage.Kind, v any) {
	f.sendBody(to, kind, encode(v))
}

func (f *Fleet) sendBody(to membership.Name, kind sealedmessage.Kind, body []byte) {
	if f.transport != nil {
		f.transport.Send(to, f.sealer.Seal(to, kind, body))
	}
}

// sendFailureDetector sends the failure detector's messages, and logs the status changes that it detected.
func (f *Fleet) sendFailureDetector() {
	messages, changes := f.detector.TakeOutput()
	for _, message := range messages {
		fault := failpoint.Pass(failpoint.ProbeMember)
		for range fault.Copies() {
			f.send(message.To, messageFailureDetector, message.Message)
		}
	}
	for _, change := range changes {
		f.counters.Add("fleet_members", change.New.String(), 1)
		f.logger.Info("fleet member status changed",
			zap.String("member", string(change.Name)), zap.String("was", change.Old.String()), zap.String("now", change.New.String()))
	}
}
