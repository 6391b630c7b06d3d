package systemtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// Times of a lossy relay. A copy comes later than the first attempt's own bound of 3 s for some orders, and earlier for others.
const (
	firstCopy      = 700 * time.Millisecond
	copyStep       = 800 * time.Millisecond
	copySteps      = 4
	deliveryLimit  = 20 * time.Second // for one request at the machine behind, also where its sender is gone
	resendPatience = 60 * time.Second // from the first try of an order to the last
)

// attempt is one delivery of an order to a core machine, with the answer that the machine gave, whoever got it.
type attempt struct {
	machine    string
	method     string
	path       string
	ifMatch    string
	body       string
	copied     bool // delivered by the relay a second time
	swallowed  bool // its answer was thrown away
	status     int  // 0 without an answer
	answer     string
	sentAt     time.Time
	answeredAt time.Time
}

// orderKey names an order: attempts with the same key are the same order.
type orderKey struct{ method, path, ifMatch, body string }

func (a attempt) key() orderKey { return orderKey{a.method, a.path, a.ifMatch, a.body} }

func (a attempt) String() string {
	return fmt.Sprintf("%s %s on %q at %s (copy: %v, swallowed: %v) got %d %s after %v",
		a.method, a.path, a.ifMatch, a.machine, a.copied, a.swallowed, a.status, a.answer, a.answeredAt.Sub(a.sentAt).Round(time.Millisecond))
}

// lossyRelays stand between operators and the core machines' control addresses. They swallow the first confirmation of
// each order and each third answer after that, and deliver a copy of each order's first request seconds later.
type lossyRelays struct {
	client  *http.Client
	servers []*httptest.Server
	copies  sync.WaitGroup

	mu        sync.Mutex
	attempts  []attempt
	orders    map[orderKey]*passage
	delivered int // orders that were copied
	answers   int // to operators
}

// passage is what the relays remember of an order.
type passage struct{ copied, confirmed bool }

// newLossyRelays opens a relay before each core machine.
func newLossyRelays(s *system) *lossyRelays {
	l := &lossyRelays{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, orders: map[orderKey]*passage{}}
	for _, core := range s.core {
		l.servers = append(l.servers, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, core) })))
	}
	return l
}

func (l *lossyRelays) close() {
	l.copies.Wait()
	for _, server := range l.servers {
		server.Close()
	}
	l.client.CloseIdleConnections()
}

// serve delivers one request. A request whose sender gives up is carried out all the same.
func (l *lossyRelays) serve(w http.ResponseWriter, r *http.Request, core *machine) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	asked := attempt{machine: core.name, method: r.Method, path: r.URL.Path, ifMatch: r.Header.Get("If-Match"), body: string(body)}
	l.copyLater(asked, core)
	got := l.deliver(asked, core)
	if l.swallows(&got) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(got.status)
	io.WriteString(w, got.answer)
}

// copyLater delivers an order's first request a second time, later.
func (l *lossyRelays) copyLater(asked attempt, core *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked.method == http.MethodGet || l.passageOf(asked).copied {
		return
	}
	l.passageOf(asked).copied = true
	delay := firstCopy + time.Duration(l.delivered%copySteps)*copyStep
	l.delivered++
	asked.copied = true
	l.copies.Add(1)
	time.AfterFunc(delay, func() {
		defer l.copies.Done()
		l.note(l.deliver(asked, core))
	})
}

// passageOf is what is remembered of an attempt's order. The mutex is held.
func (l *lossyRelays) passageOf(one attempt) *passage {
	if l.orders[one.key()] == nil {
		l.orders[one.key()] = &passage{}
	}
	return l.orders[one.key()]
}

// deliver sends an attempt to its machine and returns it with the answer.
func (l *lossyRelays) deliver(asked attempt, core *machine) (answered attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryLimit)
	defer cancel()
	asked.sentAt = time.Now()
	defer func() { answered.answeredAt = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, asked.method, "http://"+core.address(controlOffset)+asked.path, bytes.NewReader([]byte(asked.body)))
	if err != nil {
		return asked
	}
	if asked.ifMatch != "" {
		request.Header.Set("If-Match", asked.ifMatch)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return asked
	}
	defer response.Body.Close()
	if content, err := io.ReadAll(response.Body); err == nil {
		asked.status, asked.answer = response.StatusCode, string(content)
	}
	return asked
}

// swallows notes an attempt and tells whether its answer is thrown away.
func (l *lossyRelays) swallows(got *attempt) bool {
	l.mu.Lock()
	l.answers++
	order := l.passageOf(*got)
	firstConfirmation := got.status == http.StatusOK && !order.confirmed && got.method != http.MethodGet
	order.confirmed = order.confirmed || got.status == http.StatusOK
	got.swallowed = got.status == 0 || firstConfirmation || l.answers%3 == 0
	l.mu.Unlock()
	l.note(*got)
	return got.swallowed
}

func (l *lossyRelays) note(got attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, got)
}

// all are the attempts so far, in the order of their answers.
func (l *lossyRelays) all() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt{}, l.attempts...)
}

// send sends an order through the relay before one core machine after the other until an answer is clear and arrives. It
// returns the status, 0 where none was clear, and how many tries that took.
func (l *lossyRelays) send(ctx context.Context, s *system, first int, asked attempt) (status int, answer []byte, tries int) {
	ctx, cancel := context.WithTimeout(ctx, resendPatience)
	defer cancel()
	for ctx.Err() == nil {
		server := l.servers[(first+tries)%len(l.servers)]
		tries++
		status, answer = s.sendOnce(ctx, server.URL, asked)
		if isClear(status) {
			return status, answer, tries
		}
		pause(ctx, retryPause)
	}
	return 0, nil, tries
}

// sendOnce makes one try of an order, with an operator's patience.
func (s *system) sendOnce(ctx context.Context, server string, asked attempt) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, operatorPatience)
	defer cancel()
	header := http.Header{}
	if asked.ifMatch != "" {
		header.Set("If-Match", asked.ifMatch)
	}
	return s.sendWith(ctx, header, asked.method, server+asked.path, []byte(asked.body))
}

// putAttempt is the order to replace a version by a body.
func putAttempt(ifMatch int64, body []byte) attempt {
	return attempt{method: http.MethodPut, path: controlPath, ifMatch: strconv.FormatInt(ifMatch, 10), body: string(body)}
}
