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
	if f.members == nil {
		return
	}
	l, why := f.sealer.Open(f.now, sealed)
	if why != sealedmessage.Good {
		f.count.Add("fleet_dropped", why.String(), 1)
		if why == sealedmessage.Old && f.now-f.trouble[l.From] >= 1 {
			f.trouble[l.From] = f.now
			f.send(l.From, messageNewer, newer{f.sealer.Known(l.From)})
		}
		return
	}
	f.members.Heard(f.now, l.From)
	handle := handlers[l.Kind]
	if handle == nil {
		f.count.Add("fleet_dropped", "unknown_kind", 1)
		return
	}
	if err := handle(f, l.From, l.Body); err != nil {
		f.count.Add("fleet_dropped", "unreadable", 1)
		f.log.Warn("fleet: letter dropped", zap.String("from", string(l.From)), zap.Uint8("kind", uint8(l.Kind)), zap.String("text", err.Error()))
	}
}

// handled reads a body before it is handed on.
func handled[T any](do func(*Fleet, membership.Name, *T)) func(*Fleet, membership.Name, []byte) error {
	return func(f *Fleet, from membership.Name, body []byte) error {
		v, err := unpacked[T](body)
		if err == nil {
			do(f, from, &v)
		}
		return err
	}
}

var handlers map[sealedmessage.Kind]func(*Fleet, membership.Name, []byte) error

func init() {
	handlers = map[sealedmessage.Kind]func(*Fleet, membership.Name, []byte) error{
		messageMembers: handled(func(f *Fleet, from membership.Name, m *failuredetector.Message) {
			f.members.Hear(f.now, from, m)
			f.sendMembers()
		}),
		messageCouncil: func(f *Fleet, from membership.Name, body []byte) error {
			if f.council == nil || f.failed {
				return nil
			}
			var err error
			f.safely(func() { err = f.council.Step(from, body) })
			return err
		},
		messageIntro:   handled((*Fleet).introduced),
		messageAsk:     handled((*Fleet).answer),
		messageGrant:   handled((*Fleet).takeGrant),
		messageReports: handled((*Fleet).reported),
		messageCommand: handled((*Fleet).handed),
		messageResult:  handled((*Fleet).handedBack),
		messageNewer: handled(func(f *Fleet, from membership.Name, n *newer) {
			f.log.Error("fleet: another process spoke under this name, or the clock went back", zap.String("from", string(from)))
			f.sealer.Rise(n.Known)
			f.saveTables()
		}),
	}
}

func (f *Fleet) send(to membership.Name, kind sealedmessage.Kind, v any) {
	f.sendBody(to, kind, packed(v))
}

func (f *Fleet) sendBody(to membership.Name, kind sealedmessage.Kind, body []byte) {
	if f.sockets != nil {
		f.sockets.Send(to, f.sealer.Seal(to, kind, body))
	}
}

func (f *Fleet) sendMembers() {
	list, changes := f.members.Taken()
	for _, s := range list {
		fault := failpoint.Pass(failpoint.ProbeMember)
		for range fault.Times() {
			f.send(s.To, messageMembers, s.Message)
		}
	}
	for _, c := range changes {
		f.count.Add("fleet_members", c.Now.String(), 1)
		f.log.Info("fleet: mixer", zap.String("mixer", string(c.Name)), zap.String("was", c.Was.String()), zap.String("now", c.Now.String()))
	}
}
