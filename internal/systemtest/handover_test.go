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
	handOverTimeout     = 3 * time.Minute
	handOverGracePeriod = 40 * time.Second // of the core machines; a busy host needs more than the usual 6 s
	minAnnouncementSpan = 500 * time.Millisecond
	announcePath        = "/replicaset/announce"
	readyPath           = "/rebuild/ready"
)

// readyField is the msgpack encoding of the field r = true in a reply to readyPath.
var readyField = []byte{0xa1, 'r', 0xc3}

// handOver is a system with three core machines as members and a fourth that waits to join. One member is asked to shut down
// and has to hand its membership over to the fourth machine.
type handOver struct {
	*system
	departing, lagging, failing, joiningMember *machine

	mu                  sync.Mutex
	announcements       map[string][2]time.Time // the joining member's first and last announcement, by receiver
	rebuiltAt           time.Time               // when the joining member first reported to the departing member that it may vote
	departedAt          time.Time               // when the leaving member's process had ended
	shutdownRequestedAt time.Time               // when it was asked to shut down
}

// TestGracefulShutdownHandsOverMembership guards against losing acknowledged data when a member shuts down. The newest job
// and configuration are stored only on the departing member and on one that is killed just before the shutdown; the third
// member lags behind both. The departing member must keep running, within its grace period, until the joining member has
// been rebuilt and may vote. The two remaining machines must then hold everything that was acknowledged.
func TestGracefulShutdownHandsOverMembership(t *testing.T) {
	t.Parallel()
	ctx, s := startSystem(t, "member-hands-over", smallSize, handOverTimeout)
	h := &handOver{system: s, announcements: map[string][2]time.Time{}}
	failure := h.run(ctx)
	s.stop()
	if !h.rebuiltAt.IsZero() {
		t.Logf("the joining member could vote %v and the member had ended %v after it was asked to shut down",
			h.rebuiltAt.Sub(h.shutdownRequestedAt).Round(time.Millisecond), h.departedAt.Sub(h.shutdownRequestedAt).Round(time.Millisecond))
	}
	Convey("The joining member votes before the member that it replaces has ended, and nothing acknowledged is lost", t, func() {
		So(failure, ShouldBeNil)
		So(s.failures, ShouldBeEmpty)
		So(s.processProblems(), ShouldBeEmpty)
		So(h.rebuiltAt, ShouldHappenBetween, h.shutdownRequestedAt, h.departedAt)
		So(h.departedAt.Sub(h.shutdownRequestedAt), ShouldBeLessThan, handOverGracePeriod)
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
	acknowledged, version, err := h.writeWithoutLaggingMember(ctx, random)
	if err != nil {
		return err
	}
	h.stopTwoMembers()
	if lost := h.network.setDropFilter(nil); lost == 0 {
		return errors.New("no call to or from the lagging member was dropped")
	}
	if err := h.checkHandOverLog(); err != nil {
		return err
	}
	return h.checkRemaining(ctx, random, acknowledged, version)
}

// prepare sets the grace period of a core machine and observes the calls that it answers.
func (h *handOver) prepare(core *machine) {
	for _, p := range core.processes {
		p.spec.Settings += fmt.Sprintf("bounds.gracePeriodS=%d\n", int(handOverGracePeriod.Seconds()))
		for _, r := range core.relays[p] {
			r.onReply = h.observe
		}
	}
}

// observe records when the joining member announces itself, and when it first answers the departing member that it has been
// rebuilt.
func (h *handOver) observe(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case c.path == announcePath && h.joiningMember != nil && c.from == h.joiningMember.name && c.status == http.StatusOK:
		times := h.announcements[c.to]
		if times[0].IsZero() {
			times[0] = now
		}
		times[1] = now
		h.announcements[c.to] = times
	case c.path == readyPath && h.joiningMember != nil && c.to == h.joiningMember.name && c.from == h.departing.name && bytes.Contains(c.answer, readyField):
		if h.rebuiltAt.IsZero() {
			h.rebuiltAt = now
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

// chooseRoles makes the leader of the guarded service's jobs the departing member, and one of the other members the lagging
// and one the failing member.
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

// awaitJoiningMember waits until the departing and the lagging member have received announcements of the joining member over
// minAnnouncementSpan. These two vote on its admission.
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
	times := h.announcements[at.name]
	return times[1].Sub(times[0]) >= minAnnouncementSpan
}

// writeWithoutLaggingMember submits a job and changes the configuration while the lagging member receives neither. The other
// two members acknowledge both.
func (h *handOver) writeWithoutLaggingMember(ctx context.Context, random *rand.Rand) (acknowledged jobPlan, version int64, err error) {
	lagging := h.lagging.name
	h.network.setDropFilter(func(c call) bool {
		replicates := strings.HasPrefix(c.path, "/replication/") && c.path != "/replication/ping"
		return replicates && (c.from == lagging || c.to == lagging) || c.path == acceptPath && c.to == lagging
	})
	acknowledged = newJobPlan(random, longRunningJob, renderRoute)
	if err := h.submit(ctx, random, acknowledged); err != nil {
		return acknowledged, 0, err
	}
	if !h.configurations.set(ctx, 0, renderRoute, mailRoute, routePlan{"/newest/", guardedService}) {
		return acknowledged, 0, errors.New("the change was not acknowledged")
	}
	return acknowledged, h.configurations.newest, nil
}

// stopTwoMembers kills the failing member, asks the departing member to shut down, and waits until its process has exited.
func (h *handOver) stopTwoMembers() {
	h.failing.kill()
	h.mu.Lock()
	h.shutdownRequestedAt = time.Now()
	h.mu.Unlock()
	for _, p := range h.departing.processes {
		p.terminate(handOverGracePeriod)
	}
	h.mu.Lock()
	h.departedAt = time.Now()
	h.mu.Unlock()
	for _, p := range h.departing.processes {
		h.departing.closeRelays(p)
	}
}

// checkHandOverLog checks the departing member's log for the line that it ended after the joining member was rebuilt.
func (h *handOver) checkHandOverLog() error {
	log, err := os.ReadFile(h.departing.processes[0].log.Name())
	if err != nil {
		return err
	}
	if !bytes.Contains(log, []byte(`"handed over before shutdown","joining_member_rebuilt":true`)) {
		return errors.New("the member ended before its joining member could vote")
	}
	return nil
}

// checkRemaining checks that the two remaining members hold the acknowledged job and configuration, and accept new ones.
func (h *handOver) checkRemaining(ctx context.Context, random *rand.Rand, acknowledged jobPlan, version int64) error {
	for _, core := range []*machine{h.lagging, h.joiningMember} {
		if err := h.awaitConfiguration(ctx, core, version); err != nil {
			return err
		}
	}
	if err := h.awaitJob(ctx, acknowledged); err != nil {
		return err
	}
	if !h.configurations.set(ctx, 0, renderRoute, mailRoute) {
		return errors.New("the remaining members do not accept a change")
	}
	return h.submit(ctx, random, newJobPlan(random, plainJob, renderRoute))
}

// awaitConfiguration waits until a machine answers with the given version. Any other definite answer is an error.
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

// awaitJob waits until a proxy answers with the job's state. Any other definite answer, such as 404, is an error.
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
			return fmt.Errorf("the front does not answer with the state of job %s: %w", acknowledged.id, err)
		}
	}
}
