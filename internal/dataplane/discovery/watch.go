package discovery

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// watchDeadline returns when the current watch times out. A new watch that has received no line yet gets only half the timeout,
// in which a heartbeat is due. If it is as unresponsive as the previous watch, a third watch is established before drains have
// to be in force.
func (r *Client) watchDeadline() time.Time {
	if r.lastLineAt.Equal(r.watchStartedAt) {
		return r.lastLineAt.Add(r.watchTimeout / 2)
	}
	return r.lastLineAt.Add(r.watchTimeout)
}

// checkWatch starts a watch if one is due, ends a watch that has timed out, and returns the time of the next check.
func (r *Client) checkWatch(now time.Time) time.Time {
	deadline := r.watchDeadline()
	if r.cancel != nil && !now.Before(deadline) {
		r.retryWatch("silent", errWatchTimeout)
	}
	if r.subscribed && r.cancel == nil && !now.Before(r.nextWatchAt) {
		r.startWatch(now)
		deadline = r.watchDeadline()
	}
	switch {
	case r.cancel != nil:
		return deadline
	case r.subscribed:
		return r.nextWatchAt
	}
	return now.Add(time.Hour)
}

// startWatch starts a watch at the version that was applied last.
func (r *Client) startWatch(now time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	r.currentWatch++
	r.cancel, r.lastLineAt, r.watchStartedAt = cancel, now, now
	r.counters.Add("watches", "begun", 1)
	go func(watch int, url string) {
		r.inbox.Put(message{kind: messageWatchEnded, watch: watch, err: r.follow(ctx, watch, url)})
	}(r.currentWatch, r.url+"?stream=1&index="+strconv.FormatInt(r.version, 10))
}

// cancelWatch cancels the current watch. Messages that it still sends are ignored.
func (r *Client) cancelWatch() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.currentWatch++
}

// endWatch cancels the current watch and logs the reason.
func (r *Client) endWatch(reason string, err error) {
	r.counters.Add("watches", reason, 1)
	fields := []zap.Field{zap.String("peer", "register"), zap.String("reason", reason), zap.Float64("lived_s", time.Since(r.watchStartedAt).Seconds())}
	if err != nil {
		fields = append(fields, zap.String("text", err.Error()))
	}
	r.logger.Info("connection ended", fields...)
	r.cancelWatch()
}

// retryWatch ends a watch that has failed, and schedules the next one with backoff and jitter. Without jitter, aggregators that
// lost the registry at the same time would reconnect at the same time.
func (r *Client) retryWatch(reason string, err error) {
	r.endWatch(reason, err)
	r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
	r.nextWatchAt = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(r.backoff)))
	if r.listOnRequest { // the policy decides when to subscribe again
		r.subscribed = false
		r.listener.Put(aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListFailed}})
	}
}

// get sends a GET request. A status other than 200 is a StatusError.
func (r *Client) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := r.client.Do(req)
	if err == nil && res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, StatusError(res.StatusCode)
	}
	return res, err
}

// follow requests a watch, and passes its lines to the actor until the watch ends. It returns the reason.
func (r *Client) follow(ctx context.Context, watch int, url string) error {
	res, err := r.get(ctx, url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body := &trackedBody{Reader: res.Body}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	lines.Split(body.lines)
	var assembler listAssembler
	for lines.Scan() {
		if text, done := assembler.add(lines.Bytes()); done {
			r.inbox.Put(message{kind: messageLine, watch: watch, line: text})
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// fetch requests the complete list once, and passes the result to the actor. version is the version known at the request.
func (r *Client) fetch(url string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.watchTimeout)
	defer cancel()
	msg := message{kind: messageCompleteList, address: url, version: version}
	var res *http.Response
	if res, msg.err = r.get(ctx, url); msg.err == nil {
		msg.line, msg.err = io.ReadAll(io.LimitReader(res.Body, maxLine))
		res.Body.Close()
	}
	r.inbox.Put(msg)
}
