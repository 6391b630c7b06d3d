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

// callFunc is a transport.Caller made of a function.
type callFunc func(ctx context.Context, address string) error

func (f callFunc) Call(ctx context.Context, address string, _ transport.Route, _, _ any) error {
	return f(ctx, address)
}

func newTestLeaderCaller(caller callFunc) *leaderCaller {
	f := newTestFeedFollower()
	publishLeader(f, "first", 1)
	return &leaderCaller{feed: f, caller: caller, log: zap.NewNop(), now: time.Now}
}

func publishLeader(f *feedFollower, address string, term uint64) {
	f.apply(update(1, configurationOf(1000), map[string]feed.Leader{testGroup: {Address: address, Term: term}}), f.now())
}

func newSubmitCall(allowed time.Duration) leaderCall {
	locate := func(*view) (locatedCall, bool) {
		return locatedCall{group: testGroup, route: jobapi.SubmitCall.Route()}, true
	}
	return leaderCall{kind: submitOperation, timeout: allowed, locate: locate}
}

func TestAttemptsRespectTimeoutsAndNewLeaders(t *testing.T) {
	runWithVirtualTime(t, "without a newer leader the request is refused within a quarter of its time", func() {
		c := newTestLeaderCaller(func(context.Context, string) error { return notExecutedError("not the leader", 0) })
		received := time.Now()
		d := c.run(context.Background(), received, newSubmitCall(testAllowed), nil)
		So(d.status, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(received), ShouldBeLessThanOrEqualTo, ms(2850)/4)
	})
	runWithVirtualTime(t, "a newer leader is called at once, even while an attempt is in progress", func() {
		attemptCause := make(chan error, 1)
		c := newTestLeaderCaller(func(ctx context.Context, address string) error {
			if address == "second" {
				return nil
			}
			<-ctx.Done()
			attemptCause <- context.Cause(ctx)
			return ctx.Err()
		})
		received := time.Now()
		go func() {
			time.Sleep(ms(300))
			publishLeader(c.feed, "second", 2)
		}()
		d := c.run(context.Background(), received, newSubmitCall(testAllowed), nil)
		So(d.status, ShouldEqual, http.StatusOK)
		So(time.Since(received), ShouldEqual, ms(300))
		So(<-attemptCause, ShouldEqual, errNewerLeader)
	})
	runWithVirtualTime(t, "an attempt is canceled at its timeout, and the request fails at its own", func() {
		var attempts []time.Duration
		c := newTestLeaderCaller(func(ctx context.Context, _ string) error {
			started := time.Now()
			<-ctx.Done()
			attempts = append(attempts, time.Since(started))
			return ctx.Err()
		})
		received := time.Now()
		d := c.run(context.Background(), received, newSubmitCall(testAllowed), nil)
		So(d.status, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(received), ShouldEqual, ms(2850))
		So(attempts, ShouldResemble, []time.Duration{ms(1500), ms(1300)})
	})
	runWithVirtualTime(t, "a finished attempt is no longer registered", func() {
		c := newTestLeaderCaller(func(context.Context, string) error { return nil })
		c.run(context.Background(), time.Now(), newSubmitCall(testAllowed), nil)
		So(c.feed.attempts, ShouldBeEmpty)
	})
}

// TestLeaderCallerRefusesOnlyUnexecutedCalls calls random leaders, which answer, refuse, do not answer, break the
// connection or are replaced. A request must be refused only if none of its attempts can have been executed.
func TestLeaderCallerRefusesOnlyUnexecutedCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		random := random.PCG(7)
		for round := range 2000 {
			anyUnclear, lastErr, term := false, error(nil), uint64(1)
			var c *leaderCaller
			c = newTestLeaderCaller(func(ctx context.Context, _ string) error {
				if random.Unit() < 0.2 {
					term++
					publishLeader(c.feed, "next", term)
				}
				lastErr = randomFailure(ctx, &random)
				anyUnclear = anyUnclear || (lastErr != nil && rpcerror.ExecutionOf(lastErr) != rpcerror.NotExecuted)
				return lastErr
			})
			timeout := time.Duration(random.Unit() * float64(testAllowed))
			received := time.Now()
			d := c.run(context.Background(), received, newSubmitCall(timeout), nil)
			refused := d.status == http.StatusTooManyRequests || d.status == http.StatusServiceUnavailable
			switch {
			case refused && anyUnclear:
				t.Fatalf("round %d: status %d although an attempt may have been executed", round, d.status)
			case d.status == http.StatusOK && lastErr != nil:
				t.Fatalf("round %d: status 200 although the last attempt failed: %v", round, lastErr)
			case time.Since(received) > timeout:
				t.Fatalf("round %d: answered after %v, timeout %v", round, time.Since(received), timeout)
			}
		}
	})
}

// randomFailure returns the result of a random attempt: nil, an error, or the context's error after its end.
func randomFailure(ctx context.Context, random *random.PCG) error {
	switch draw := random.Unit(); {
	case draw < 0.1:
		return nil
	case draw < 0.5:
		return notExecutedError("not the leader", 0)
	case draw < 0.6:
		return notExecutedError("full", time.Duration(random.Exp()*float64(time.Second)))
	case draw < 0.8:
		return rpcerror.WrapMayHaveExecuted(errors.New("connection broken"))
	default:
		<-ctx.Done()
		return ctx.Err()
	}
}
