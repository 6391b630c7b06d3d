package systemtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	handOverTimeout = 3 * time.Minute
	handOverGrace   = 40 * time.Second // of the core machines: a busy machine needs more than the usual 6 s
	minAnnounceSpan = 500 * time.Millisecond
	announcePath    = "/replicaset/announce"
	readyPath       = "/rebuild/ready"
)

// readyField is the field of a reply to readyPath that is true, in msgpack.
var readyField = []byte{0xa1, 'r', 0xc3}

// handOver is a system of three core machines of which one is asked to shut down while a fourth waits to become a member.
type handOver struct {
	*system
	departing, lagging, failing, joiningMember *machine

	mu                sync.Mutex
	announced         map[string][2]time.Time // the joining member's first and last announcement, by receiver
	rebuilt           time.Time               // when the joining member first reported to the departing member that it may vote
	ended             time.Time               // when the leaving member's process had ended
	shutdownRequested time.Time               // when it was asked to shut down
}

// A member leads a group and holds its newest batch and the newest configuration together with one other, which fails in
// that moment; the third member got neither. The first is asked to shut down while a joining member waits. It stays until the joining member
// has been rebuilt and may vote, within its grace period, and what was acknowledged is there at the two that are left.
func TestGracefulShutdownHandsOverMembership(t *testing.T) {
	t.Parallel()
	ctx, s := startSystem(t, "member-hands-over", smallSize, handOverTimeout)
	h := &handOver{system: s, announced: map[string][2]time.Time{}}
	failure := h.run(ctx)
	s.stop()
	if !h.rebuilt.IsZero() {
		t.Logf("the joining member could vote %v and the member had ended %v after it was asked to shut down",
			h.rebuilt.Sub(h.shutdownRequested).Round(time.Millisecond), h.ended.Sub(h.shutdownRequested).Round(time.Millisecond))
	}
	Convey("The joining member votes before the member that it replaces has ended, and nothing acknowledged is lost", t, func() {
		So(failure, ShouldBeNil)
		So(s.failures, ShouldBeEmpty)
		So(s.processProblems(), ShouldBeEmpty)
		So(h.rebuilt, ShouldHappenBetween, h.shutdownRequested, h.ended)
		So(h.ended.Sub(h.shutdownRequested), ShouldBeLessThan, handOverGrace)
	})
}

func (h *handOver) run(ctx context.Context) error {
	for _, core := range h.core {
		h.prepare(core)
	}
	if err := h.bringUp(ctx); err != nil {
		return err
	}
	if err := h.addJoiningMember(); err != nil {
		return err
	}
	h.chooseRoles()
	if err := h.awaitJoiningMember(ctx); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(9, 1))
	acknowledged, version, err := h.writeWithoutLagging(ctx, random)
	if err != nil {
		return err
	}
	h.stopMember()
	if lost := h.network.setDropFilter(nil); lost == 0 {
		return errors.New("no call to the member that lags was lost")
	}
	if err := h.checkLog(); err != nil {
		return err
	}
	return h.checkRemaining(ctx, random, acknowledged, version)
}

// prepare gives a core machine its grace period, and watches the calls that it answers.
func (h *handOver) prepare(core *machine) {
	for _, p := range core.processes {
		p.spec.Settings += fmt.Sprintf("bounds.gracePeriodS=%d\n", int(handOverGrace.Seconds()))
		for _, r := range core.relays[p] {
			r.onReply = h.observe
		}
	}
}

// observe records the joining member's announcements, and its report that it may vote.
func (h *handOver) observe(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case c.path == announcePath && h.joiningMember != nil && c.from == h.joiningMember.name && c.status == http.StatusOK:
		times := h.announced[c.to]
		if times[0].IsZero() {
			times[0] = now
		}
		times[1] = now
		h.announced[c.to] = times
	case c.path == readyPath && h.joiningMember != nil && c.to == h.joiningMember.name && c.from == h.departing.name && bytes.Contains(c.answer, readyField):
		if h.rebuilt.IsZero() {
			h.rebuilt = now
		}
	}
}

// addJoiningMember starts a fourth core machine.
func (h *handOver) addJoiningMember() error {
	m, err := h.newCoreMachine("core-4")
	if err != nil {
		return err
	}
	if err := m.addCoordinator(false); err != nil {
		return err
	}
	h.prepare(m)
	h.mu.Lock()
	h.joiningMember = m
	h.mu.Unlock()
	h.core = append(h.core, m)
	machines := h.machines()
	h.callers.Store(&machines)
	return m.startAll(false)
}

// chooseRoles lets the leader of the guarded service's jobs be the one that is asked to shut down.
func (h *handOver) chooseRoles() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departing = h.leaderOf(guardedService)
	for _, core := range h.core {
		switch {
		case core == h.departing || core == h.joiningMember:
		case h.lagging == nil:
			h.lagging = core
		default:
			h.failing = core
		}
	}
}

// awaitJoiningMember waits until the members that vote on its admission have received its announcements for long enough.
func (h *handOver) awaitJoiningMember(ctx context.Context) error {
	for !h.hasAnnounced(h.departing) || !h.hasAnnounced(h.lagging) {
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("the joining member does not announce itself: %w", err)
		}
	}
	return nil
}

func (h *handOver) hasAnnounced(at *machine) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := h.announced[at.name]
	return times[1].Sub(times[0]) >= minAnnounceSpan
}

// writeWithoutLagging submits a job and changes the configuration while the lagging member receives neither. Both are
// acknowledged by the other two.
func (h *handOver) writeWithoutLagging(ctx context.Context, random *rand.Rand) (acknowledged jobPlan, version int64, err error) {
	lagging := h.lagging.name
	h.network.setDropFilter(func(c call) bool {
		replicates := strings.HasPrefix(c.path, "/replication/") && c.path != "/replication/ping"
		return replicates && (c.from == lagging || c.to == lagging) || c.path == acceptPath && c.to == lagging
	})
	acknowledged = newJobPlan(random, longRunningJob, renderRoute)
	if err := h.submit(ctx, random, acknowledged); err != nil {
		return acknowledged, 0, err
	}
	if !h.configured.set(ctx, 0, renderRoute, mailRoute, routePlan{"/newest/", guardedService}) {
		return acknowledged, 0, errors.New("the change was not acknowledged")
	}
	return acknowledged, h.configured.newest, nil
}

// stopMember kills the member with the same state, asks the departing one to shut down, and waits for its end.
func (h *handOver) stopMember() {
	h.failing.kill()
	h.mu.Lock()
	h.shutdownRequested = time.Now()
	h.mu.Unlock()
	for _, p := range h.departing.processes {
		p.terminate(handOverGrace)
	}
	h.mu.Lock()
	h.ended = time.Now()
	h.mu.Unlock()
	for _, p := range h.departing.processes {
		h.departing.closeRelays(p)
	}
}

// checkLog looks whether the member wrote, before it ended, that its joining member may vote.
func (h *handOver) checkLog() error {
	log, err := os.ReadFile(h.departing.processes[0].log.Name())
	if err != nil {
		return err
	}
	if !bytes.Contains(log, []byte(`"handed over before shutdown","joining_member_rebuilt":true`)) {
		return errors.New("the member ended before its joining member could vote")
	}
	return nil
}

// checkRemaining checks that the two remaining members have what was acknowledged, and that they accept more.
func (h *handOver) checkRemaining(ctx context.Context, random *rand.Rand, acknowledged jobPlan, version int64) error {
	for _, core := range []*machine{h.lagging, h.joiningMember} {
		if err := h.awaitConfiguration(ctx, core, version); err != nil {
			return err
		}
	}
	if err := h.awaitJob(ctx, acknowledged); err != nil {
		return err
	}
	if !h.configured.set(ctx, 0, renderRoute, mailRoute) {
		return errors.New("the members that are left take no change")
	}
	return h.submit(ctx, random, newJobPlan(random, plainJob, renderRoute))
}

// awaitConfiguration waits until a machine answers with the configuration, which is the one that was acknowledged last.
func (h *handOver) awaitConfiguration(ctx context.Context, core *machine, version int64) error {
	for {
		read := h.operatorRequest(ctx, core, http.MethodGet, 0, nil)
		switch {
		case read.Status == http.StatusOK && versionOf(read.Answer) == version:
			return nil
		case isDefinite(read.Status):
			return fmt.Errorf("version %d was acknowledged, and %s answers %d %s", version, core.name, read.Status, read.Answer)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("%s does not answer with the configuration: %w", core.name, err)
		}
	}
}

// awaitJob waits until a proxy knows the job's state, which must not be that there is none.
func (h *handOver) awaitJob(ctx context.Context, acknowledged jobPlan) error {
	for {
		got := h.clientRequest(ctx, h.fronts[0], http.MethodGet, acknowledged.path(), nil)
		switch {
		case got.Status == http.StatusOK:
			return nil
		case isDefinite(got.Status):
			return fmt.Errorf("job %s was acknowledged, and the front answers %d %s", acknowledged.id, got.Status, got.Answer)
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("nobody knows job %s: %w", acknowledged.id, err)
		}
	}
}
