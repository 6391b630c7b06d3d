package proxy

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// callerFunc is a transport.Caller made of a function.
type callerFunc func(ctx context.Context, address string) error

func (f callerFunc) Call(ctx context.Context, address string, _ transport.Route, _, _ any) error {
	return f(ctx, address)
}

func newTestLeaderCaller(caller callerFunc) *leaderCaller {
	f := newTestFollower()
	lead(f, "first", 1)
	return &leaderCaller{feed: f, caller: caller, log: zap.NewNop(), now: time.Now}
}

func lead(f *follower, address string, term uint64) {
	f.apply(update(1, configurationOf(1000), map[string]feed.Leader{testGroup: {Address: address, Term: term}}), f.now())
}

func submitCall(allowed time.Duration) leaderCall {
	return leaderCall{kind: submission, group: testGroup, route: jobapi.SubmitCall.Route(), allowed: allowed}
}

func TestAttemptsInTime(t *testing.T) {
	inBubble(t, "without a newer leader a refusal comes within a quarter of the time", func() {
		c := newTestLeaderCaller(func(context.Context, string) error { return notRun("not the leader", 0) })
		begun := time.Now()
		d := c.run(context.Background(), begun, submitCall(testAllowed), nil)
		So(d.status, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(begun), ShouldBeLessThanOrEqualTo, ms(2850)/4)
	})
	inBubble(t, "a newer leader is tried at once, also while a try is pending", func() {
		abandoned := make(chan error, 1)
		c := newTestLeaderCaller(func(ctx context.Context, address string) error {
			if address == "second" {
				return nil
			}
			<-ctx.Done()
			abandoned <- context.Cause(ctx)
			return ctx.Err()
		})
		begun := time.Now()
		go func() {
			time.Sleep(ms(300))
			lead(c.feed, "second", 2)
		}()
		d := c.run(context.Background(), begun, submitCall(testAllowed), nil)
		So(d.status, ShouldEqual, http.StatusOK)
		So(time.Since(begun), ShouldEqual, ms(300))
		So(<-abandoned, ShouldEqual, errNewerLeader)
	})
	inBubble(t, "a try is given up after its time, and the request after all of it", func() {
		var attempts []time.Duration
		c := newTestLeaderCaller(func(ctx context.Context, _ string) error {
			begun := time.Now()
			<-ctx.Done()
			attempts = append(attempts, time.Since(begun))
			return ctx.Err()
		})
		begun := time.Now()
		d := c.run(context.Background(), begun, submitCall(testAllowed), nil)
		So(d.status, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(begun), ShouldEqual, ms(2850))
		So(attempts, ShouldResemble, []time.Duration{ms(1500), ms(1300)})
	})
	inBubble(t, "no try is registered once it is over", func() {
		c := newTestLeaderCaller(func(context.Context, string) error { return nil })
		c.run(context.Background(), time.Now(), submitCall(testAllowed), nil)
		So(c.feed.attempts, ShouldBeEmpty)
	})
}

// TestCertaintyOfCalls plays random leaders, which answer, refuse, stay silent, break off and are replaced: a request
// is refused only if all its attempts have certainly not run.
func TestCertaintyOfCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		random := random.PCG(7)
		for round := range 2000 {
			anyUnclear, lastErr, term := false, error(nil), uint64(1)
			var c *leaderCaller
			c = newTestLeaderCaller(func(ctx context.Context, _ string) error {
				if random.Unit() < 0.2 {
					term++
					lead(c.feed, "next", term)
				}
				lastErr = randomFailure(ctx, &random)
				anyUnclear = anyUnclear || (lastErr != nil && rpcerror.ExecutionOf(lastErr) != rpcerror.NotExecuted)
				return lastErr
			})
			allowed := time.Duration(random.Unit() * float64(testAllowed))
			begun := time.Now()
			d := c.run(context.Background(), begun, submitCall(allowed), nil)
			refusedNow := d.status == http.StatusTooManyRequests || d.status == http.StatusServiceUnavailable
			switch {
			case refusedNow && anyUnclear:
				t.Fatalf("round %d: %d after an unclear try", round, d.status)
			case d.status == http.StatusOK && lastErr != nil:
				t.Fatalf("round %d: success after %v", round, lastErr)
			case time.Since(begun) > allowed:
				t.Fatalf("round %d: answered after %v of %v", round, time.Since(begun), allowed)
			}
		}
	})
}

func randomFailure(ctx context.Context, random *random.PCG) error {
	switch draw := random.Unit(); {
	case draw < 0.1:
		return nil
	case draw < 0.5:
		return notRun("not the leader", 0)
	case draw < 0.6:
		return notRun("full", time.Duration(random.Exp()*float64(time.Second)))
	case draw < 0.8:
		return rpcerror.WrapMayHaveExecuted(errors.New("broken off"))
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}
