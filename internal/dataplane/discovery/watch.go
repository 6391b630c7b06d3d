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

// silent is when the watch in hand counts as silent. A new one that has said nothing at all gets half as long, in which a
// heartbeat is due: should it be silent as the one before it was, a third one stands before drains have to be kept.
func (r *Client) silent() time.Time {
	if r.heard.Equal(r.since) {
		return r.heard.Add(r.silence / 2)
	}
	return r.heard.Add(r.silence)
}

// look begins a watch where one is due, ends one that is silent, and tells when to look again.
func (r *Client) look(now time.Time) time.Time {
	silent := r.silent()
	if r.cancel != nil && !now.Before(silent) {
		r.ended("silent", errSilent)
	}
	if r.on && r.cancel == nil && !now.Before(r.again) {
		r.begin(now)
		silent = r.silent()
	}
	switch {
	case r.cancel != nil:
		return silent
	case r.on:
		return r.again
	}
	return now.Add(time.Hour)
}

func (r *Client) begin(now time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	r.watch++
	r.cancel, r.heard, r.since = cancel, now, now
	r.count.Add("watches", "begun", 1)
	go func(no int, url string) {
		r.in.Put(note{kind: watchEnded, watch: no, err: r.follow(ctx, no, url)})
	}(r.watch, r.url+"?stream=1&index="+strconv.FormatInt(r.version, 10))
}

// drop lets go of the watch in hand; what it may still say counts no more.
func (r *Client) drop() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.watch++
}

// let lets go of a watch and says why.
func (r *Client) let(why string, err error) {
	r.count.Add("watches", why, 1)
	fields := []zap.Field{zap.String("peer", "register"), zap.String("reason", why), zap.Float64("lived_s", time.Since(r.since).Seconds())}
	if err != nil {
		fields = append(fields, zap.String("text", err.Error()))
	}
	r.log.Info("connection ended", fields...)
	r.drop()
}

// ended lets go of a watch that came to nothing, and sets when to try again. Aggregators that lost the register
// together must not come back together.
func (r *Client) ended(why string, err error) {
	r.let(why, err)
	r.wait = min(mostWait, max(firstWait, 2*r.wait))
	r.again = time.Now().Add(time.Duration((0.5 + rand.Float64()) * float64(r.wait)))
	if r.asked { // the module says when to ask again
		r.on = false
		r.tell.Put(aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListFailed}})
	}
}

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

// follow reads a watch until it ends.
func (r *Client) follow(ctx context.Context, no int, url string) error {
	res, err := r.get(ctx, url)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body := &tail{Reader: res.Body}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, mostLine)
	lines.Split(body.lines)
	var whole gathered
	for lines.Scan() {
		if text, done := whole.add(lines.Bytes()); done {
			r.in.Put(note{kind: lineArrived, watch: no, line: text})
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// fetch asks for the whole list once.
func (r *Client) fetch(url string, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.silence)
	defer cancel()
	n := note{kind: wholeArrived, address: url, version: version}
	var res *http.Response
	if res, n.err = r.get(ctx, url); n.err == nil {
		n.line, n.err = io.ReadAll(io.LimitReader(res.Body, mostLine))
		res.Body.Close()
	}
	r.in.Put(n)
}
