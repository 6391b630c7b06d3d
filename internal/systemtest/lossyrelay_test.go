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

// Times of a lossy relay. A duplicate comes later than the first attempt's own bound of 3 s for some commands, and earlier for others.
const (
	firstDuplicateDelay = 700 * time.Millisecond
	duplicateDelayStep  = 800 * time.Millisecond
	duplicateDelaySteps = 4
	deliveryTimeout     = 20 * time.Second // for one request at the machine behind, also where its sender is gone
	commandRetryTimeout = 60 * time.Second // from the first attempt of a command to the last
)

// delivery is one delivery of a command to a core machine, with the machine's reply, also where that was dropped.
type delivery struct {
	machine      string
	method       string
	path         string
	ifMatch      string
	body         string
	duplicate    bool // delivered by the relay a second time
	replyDropped bool // its answer was thrown away
	status       int  // 0 without an answer
	answer       string
	sentAt       time.Time
	answeredAt   time.Time
}

// commandKey names a command: deliveries with the same key are of the same command.
type commandKey struct{ method, path, ifMatch, body string }

func (a delivery) key() commandKey { return commandKey{a.method, a.path, a.ifMatch, a.body} }

func (a delivery) String() string {
	return fmt.Sprintf("%s %s on %q at %s (duplicate: %v, reply dropped: %v) got %d %s after %v",
		a.method, a.path, a.ifMatch, a.machine, a.duplicate, a.replyDropped, a.status, a.answer, a.answeredAt.Sub(a.sentAt).Round(time.Millisecond))
}

// lossyRelays stand between operators and the core machines' control addresses. They drop the first confirmation of
// each command and each third reply after that, and deliver a duplicate of each command's first request seconds later.
type lossyRelays struct {
	client     *http.Client
	servers    []*httptest.Server
	duplicates sync.WaitGroup

	mu         sync.Mutex
	deliveries []delivery
	commands   map[commandKey]*commandState
	duplicated int // commands that were copied
	replies    int // to operators
}

// commandState is what the relays remember of a command.
type commandState struct{ duplicated, confirmed bool }

// newLossyRelays opens a relay before each core machine.
func newLossyRelays(s *system) *lossyRelays {
	l := &lossyRelays{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, commands: map[commandKey]*commandState{}}
	for _, core := range s.core {
		l.servers = append(l.servers, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, core) })))
	}
	return l
}

func (l *lossyRelays) close() {
	l.duplicates.Wait()
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
	command := delivery{machine: core.name, method: r.Method, path: r.URL.Path, ifMatch: r.Header.Get("If-Match"), body: string(body)}
	l.duplicateLater(command, core)
	got := l.deliver(command, core)
	if l.dropsReply(&got) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(got.status)
	io.WriteString(w, got.answer)
}

// duplicateLater delivers a command's first request a second time, later.
func (l *lossyRelays) duplicateLater(command delivery, core *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if command.method == http.MethodGet || l.stateOf(command).duplicated {
		return
	}
	l.stateOf(command).duplicated = true
	delay := firstDuplicateDelay + time.Duration(l.duplicated%duplicateDelaySteps)*duplicateDelayStep
	l.duplicated++
	command.duplicate = true
	l.duplicates.Add(1)
	time.AfterFunc(delay, func() {
		defer l.duplicates.Done()
		l.record(l.deliver(command, core))
	})
}

// stateOf is what is remembered of a delivery's command. The mutex is held.
func (l *lossyRelays) stateOf(one delivery) *commandState {
	if l.commands[one.key()] == nil {
		l.commands[one.key()] = &commandState{}
	}
	return l.commands[one.key()]
}

// deliver sends an attempt to its machine and returns it with the answer.
func (l *lossyRelays) deliver(command delivery, core *machine) (answered delivery) {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	command.sentAt = time.Now()
	defer func() { answered.answeredAt = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, command.method, "http://"+core.address(controlOffset)+command.path, bytes.NewReader([]byte(command.body)))
	if err != nil {
		return command
	}
	if command.ifMatch != "" {
		request.Header.Set("If-Match", command.ifMatch)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return command
	}
	defer response.Body.Close()
	if content, err := io.ReadAll(response.Body); err == nil {
		command.status, command.answer = response.StatusCode, string(content)
	}
	return command
}

// dropsReply records a delivery and reports whether its reply is dropped.
func (l *lossyRelays) dropsReply(got *delivery) bool {
	l.mu.Lock()
	l.replies++
	order := l.stateOf(*got)
	firstConfirmation := got.status == http.StatusOK && !order.confirmed && got.method != http.MethodGet
	order.confirmed = order.confirmed || got.status == http.StatusOK
	got.replyDropped = got.status == 0 || firstConfirmation || l.replies%3 == 0
	l.mu.Unlock()
	l.record(*got)
	return got.replyDropped
}

func (l *lossyRelays) record(got delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliveries = append(l.deliveries, got)
}

// allDeliveries are the deliveries so far, in the order of their replies.
func (l *lossyRelays) allDeliveries() []delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]delivery{}, l.deliveries...)
}

// sendUntilClear sends a command through the relay before one core machine after the other until a definite reply arrives. It
// returns the status, 0 where none was clear, and how many attempts that took.
func (l *lossyRelays) sendUntilClear(ctx context.Context, s *system, first int, command delivery) (status int, answer []byte, attempts int) {
	ctx, cancel := context.WithTimeout(ctx, commandRetryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		server := l.servers[(first+attempts)%len(l.servers)]
		attempts++
		status, answer = s.sendCommandOnce(ctx, server.URL, command)
		if isDefinite(status) {
			return status, answer, attempts
		}
		sleep(ctx, retryInterval)
	}
	return 0, nil, attempts
}

// sendCommandOnce sends a command once, with an operator's time-out.
func (s *system) sendCommandOnce(ctx context.Context, server string, command delivery) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	header := http.Header{}
	if command.ifMatch != "" {
		header.Set("If-Match", command.ifMatch)
	}
	return s.sendWith(ctx, header, command.method, server+command.path, []byte(command.body))
}

// putCommand is the command that replaces a version by a body.
func putCommand(ifMatch int64, body []byte) delivery {
	return delivery{method: http.MethodPut, path: controlPath, ifMatch: strconv.FormatInt(ifMatch, 10), body: string(body)}
}
