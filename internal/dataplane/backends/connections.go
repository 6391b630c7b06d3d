package backends

import (
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

func (a *actor) idle(conn *connection) bool {
	return conn.trips == 0 && (a.pendingProbe == nil || a.pendingProbe.connection != conn)
}

func (a *actor) closeIdle(why reason) {
	for _, conn := range a.connections {
		if a.idle(conn) {
			a.close(conn, why)
		}
	}
}

// close ends a connection; what is out on it is told when its goroutines have said all they know.
func (a *actor) close(conn *connection, why reason) {
	if conn.closing != "" {
		return
	}
	conn.closing = why
	if conn.trips > 0 && (why == whyMoved || why == whyRestarted) { // the process before may have answered
		conn.finish()
	} else {
		conn.socket.Close()
	}
}

// room finds a connection for a trip. One on which a call of the same name was given up is no use: its late answer
// could not be told from the new one's.
func (a *actor) room(t *trip) *connection {
	for _, conn := range a.connections {
		if !a.takes(conn) || a.hub.set.Streams > 0 && conn.trips >= a.hub.set.Streams {
			continue
		}
		if !slices.ContainsFunc(t.calls, func(c *call) bool { return !conn.abandoned[c.name].IsZero() }) {
			return conn
		}
	}
	return nil
}

// takes tells whether anything new may be asked on a connection. One that has fallen silent looks like a backend that is
// silent: only another connection tells them apart, and a backend that lives must not be lost with its connection.
func (a *actor) takes(conn *connection) bool {
	return conn.closing == "" && !conn.half && conn.silentSince.IsZero() && !a.stale(conn)
}

// unanswered notes that a connection had no answer in its time to what was asked on it then. That time is a probe's at
// least: what a client gives a call may be next to nothing.
func (a *actor) unanswered(conn *connection, asked, now time.Time) {
	if conn.heard.Before(asked) && now.Sub(asked) >= seconds(a.hub.set.Connect) {
		a.markSilent(conn, now)
	}
}

// markSilent begins the last wait for a connection that has said nothing, and asks it by a probe of its own, which a backend answers at
// once however long its calls wait. Without one, slow backends lost connection after connection, with the work done for them.
func (a *actor) markSilent(conn *connection, now time.Time) {
	if conn.closing != "" || !conn.silentSince.IsZero() {
		return
	}
	conn.silentSince = now
	conn.out.Put(outgoing{frameType: a.probeFrame()})
}

// ask notes that something is handed to a connection. It counts from here and not from when the writer tells of it: on a
// busy machine that may come after the answer of a probe on another connection, which would then find nothing asked here.
func (conn *connection) ask(now time.Time) {
	if conn.asked.IsZero() {
		conn.asked = now
	}
}

// stale tells of a connection that its backend may close for being idle before a frame gets there: a frame is given
// as long as a connect.
func (a *actor) stale(conn *connection) bool {
	idle := a.hub.set.Idle
	return idle > 0 && a.idle(conn) && time.Since(conn.used) >= a.idleLimit()
}

// idleLimit is how long an idle connection is kept; where a connect may take nearly all of the idle time, half of that.
func (a *actor) idleLimit() time.Duration {
	return seconds(max(a.hub.set.Idle-a.hub.set.Connect, a.hub.set.Idle/2))
}

func (a *actor) dialsNeeded() int {
	need, per := len(a.waiting), a.hub.set.Streams
	if need > 0 && per > 0 {
		need = (need + per - 1) / per
	} else if need > 0 {
		need = 1
	}
	if a.pendingProbe != nil && a.pendingProbe.connection == nil {
		need = max(need, 1)
	}
	return need
}

func (a *actor) dial() {
	a.dials++
	a.dialling++
	a.hub.count.Add("lines", "dialled", 1)
	address, era, connect := a.address, a.era, seconds(a.hub.set.Connect)
	select {
	case a.hub.descriptors <- struct{}{}:
	default:
		a.in.Put(note{kind: dialled, era: era, address: address, why: whyNoRoom})
		return
	}
	go func() {
		last := a.connect(address, era, connect)
		<-a.hub.descriptors // before the end is told: who hears of it may need the place
		a.in.Put(last)
	}()
}

// connect dials, and serves the connection where one comes up. It returns the last note of either, which is still to be told.
func (a *actor) connect(address string, era int, within time.Duration) (last note) {
	socket, err := a.hub.dialer(a.hub.dials, within, address)
	if err != nil {
		why := whyNoConnect
		if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
			why = whyLateDial
		}
		return note{kind: dialled, era: era, address: address, why: why, text: err.Error()}
	}
	conn := &connection{socket: socket, stuck: a.hub.stuck, out: eventqueue.New[outgoing](), address: address, opened: time.Now(),
		used: time.Now(), abandoned: map[string]time.Time{}}
	a.in.Put(note{kind: dialled, era: era, connection: conn})
	return conn.run(func(n note) { a.in.Put(n) })
}

func (a *actor) dialled(n *note) {
	a.dialling--
	old := n.era != a.era
	if !old {
		a.dials--
	}
	if n.connection != nil {
		a.connections = append(a.connections, n.connection)
		switch {
		case a.stopped:
			a.close(n.connection, whyShutdown)
		case old:
			a.close(n.connection, whyMoved)
		case a.closed && a.pendingProbe == nil: // idle ones were closed when it began to drain
			a.close(n.connection, whyAsked)
		}
		a.assign()
		return
	}
	a.logEnd(n.why, n.text, n.address, 0)
	if old || a.dials > 0 {
		return // another may come up
	}
	how := policy.NotConnected
	if n.why == whyNoRoom { // no fault of the backend
		how = policy.NotSent
	}
	for _, t := range slices.Clone(a.waiting) {
		for _, c := range slices.Clone(t.calls) {
			a.end(c, how, time.Now(), answer{})
		}
	}
	if p := a.pendingProbe; p != nil && p.connection == nil {
		a.probed(how, time.Now(), policy.Load{})
	}
}

// connectionEnded tells once what was out on a connection: what was never wholly written never ran.
func (a *actor) connectionEnded(n *note) {
	conn, now := n.connection, time.Now()
	a.connections = slices.DeleteFunc(a.connections, func(o *connection) bool { return o == conn })
	why := n.why
	if conn.closing != "" {
		why = conn.closing
	}
	a.logEnd(why, n.text, conn.address, now.Sub(conn.opened))
	for _, c := range a.calls {
		if c.connection == conn {
			a.end(c, c.outcome(), now, answer{})
		}
	}
	if p := a.pendingProbe; p != nil && p.connection == conn {
		how := policy.NotConnected
		if p.written {
			how = policy.Broken
		}
		a.probed(how, now, policy.Load{})
	}
	if !a.stopped {
		a.assign()
	}
}

func (a *actor) logEnd(why reason, text, address string, lived time.Duration) {
	a.hub.count.Add("lines", string(why), 1)
	line := a.hub.log.Check(zap.InfoLevel, "connection ended")
	if line == nil {
		return
	}
	line.Write(
		zap.String("peer", "searcher"),
		zap.String("reason", string(why)),
		zap.String("address", address),
		zap.Uint32("searcher", uint32(a.id)),
		zap.Float64("lived_s", lived.Seconds()),
		zap.String("text", text))
}
