package fleet

import (
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failuredetector"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
)

// receive opens one and hands it on.
func (f *Fleet) receive(sealed []byte) {
	if f.detector == nil {
		return
	}
	l, why := f.sealer.Open(f.now, sealed)
	if why != sealedmessage.Accepted {
		f.counters.Add("fleet_dropped", why.String(), 1)
		if why == sealedmessage.OldIncarnation && f.now-f.staleNotifiedAt[l.From] >= 1 {
			f.staleNotifiedAt[l.From] = f.now
			f.send(l.From, messageStaleIncarnation, staleIncarnation{f.sealer.KnownIncarnation(l.From)})
		}
		return
	}
	f.detector.RecordContact(f.now, l.From)
	handle := handlers[l.Kind]
	if handle == nil {
		f.counters.Add("fleet_dropped", "unknown_kind", 1)
		return
	}
	if err := handle(f, l.From, l.Body); err != nil {
		f.counters.Add("fleet_dropped", "unreadable", 1)
		f.logger.Warn("fleet: letter dropped", zap.String("from", string(l.From)), zap.Uint8("kind", uint8(l.Kind)), zap.String("text", err.Error()))
	}
}

// decoded reads a body before it is handed on.
func decoded[T any](do func(*Fleet, membership.Name, *T)) func(*Fleet, membership.Name, []byte) error {
	return func(f *Fleet, from membership.Name, body []byte) error {
		v, err := decode[T](body)
		if err == nil {
			do(f, from, &v)
		}
		return err
	}
}

var handlers map[sealedmessage.Kind]func(*Fleet, membership.Name, []byte) error

func init() {
	handlers = map[sealedmessage.Kind]func(*Fleet, membership.Name, []byte) error{
		messageFailureDetector: decoded(func(f *Fleet, from membership.Name, m *failuredetector.Message) {
			f.detector.Receive(f.now, from, m)
			f.sendMembers()
		}),
		messageConsensus: func(f *Fleet, from membership.Name, body []byte) error {
			if f.consensus == nil || f.steppedOut {
				return nil
			}
			var err error
			f.recoverPanic(func() { err = f.consensus.Step(from, body) })
			return err
		},
		messageIntroduction:    decoded((*Fleet).receiveIntroduction),
		messageGrantRequest:    decoded((*Fleet).receiveGrantRequest),
		messageGrantResponse:   decoded((*Fleet).receiveGrantResponse),
		messageReports:         decoded((*Fleet).receiveReports),
		messageCommandRequest:  decoded((*Fleet).receiveCommand),
		messageCommandResponse: decoded((*Fleet).receiveCommandResponse),
		messageStaleIncarnation: decoded(func(f *Fleet, from membership.Name, n *staleIncarnation) {
			f.logger.Error("fleet: another process spoke under this name, or the clock went back", zap.String("from", string(from)))
			f.sealer.RaiseIncarnation(n.Highest)
			f.saveTables()
		}),
	}
}

func (f *Fleet) send(to membership.Name, kind sealedmessage.Kind, v any) {
	f.sendBody(to, kind, encode(v))
}

func (f *Fleet) sendBody(to membership.Name, kind sealedmessage.Kind, body []byte) {
	if f.transport != nil {
		f.transport.Send(to, f.sealer.Seal(to, kind, body))
	}
}

func (f *Fleet) sendMembers() {
	list, changes := f.detector.TakeOutput()
	for _, s := range list {
		fault := failpoint.Pass(failpoint.ProbeMember)
		for range fault.Times() {
			f.send(s.To, messageFailureDetector, s.Message)
		}
	}
	for _, c := range changes {
		f.counters.Add("fleet_members", c.Now.String(), 1)
		f.logger.Info("fleet: mixer", zap.String("mixer", string(c.Name)), zap.String("was", c.Was.String()), zap.String("now", c.Now.String()))
	}
}
