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

// Delays and timeouts of a lossy relay. The delays of duplicates are spread so that a duplicate arrives before the first
// attempt's deadline of 3 s for some commands and after it for others.
const (
	firstDuplicateDelay = 700 * time.Millisecond
	duplicateDelayStep  = 800 * time.Millisecond
	duplicateDelaySteps = 4
	deliveryTimeout     = 20 * time.Second // for one request at the core machine, even if its sender has disconnected
	commandRetryTimeout = 60 * time.Second // for one command with all its retries
)

// delivery is one delivery of a command to a core machine, with the machine's reply. The reply is recorded even if a relay
// dropped it.
type delivery struct {
	machine      string
	method       string
	path         string
	ifMatch      string
	body         string
	duplicate    bool // the relay's own second delivery of a request
	replyDropped bool
	status       int // 0 if no reply arrived
	answer       string
	sentAt       time.Time
	answeredAt   time.Time
}

// commandKey identifies a command. Deliveries with the same key are deliveries of the same command.
type commandKey struct{ method, path, ifMatch, body string }

func (d delivery) key() commandKey { return commandKey{d.method, d.path, d.ifMatch, d.body} }

func (d delivery) String() string {
	return fmt.Sprintf("%s %s on %q at %s (duplicate: %v, reply dropped: %v) got %d %s after %v",
		d.method, d.path, d.ifMatch, d.machine, d.duplicate, d.replyDropped, d.status, d.answer, d.answeredAt.Sub(d.sentAt).Round(time.Millisecond))
}

// lossyRelays are relays between operators and the control addresses of the core machines. They drop the first confirmation
// of each command and every third reply. They also deliver a duplicate of each command's first request after a delay.
type lossyRelays struct {
	client     *http.Client
	servers    []*httptest.Server
	duplicates sync.WaitGroup

	mu         sync.Mutex
	deliveries []delivery
	commands   map[commandKey]*commandState
	duplicated int // number of commands that were duplicated
	replies    int // number of replies to operators, including dropped ones
}

// commandState is the relays' state of a command.
type commandState struct{ duplicated, confirmed bool }

// newLossyRelays opens a relay in front of each core machine.
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

// serve delivers one request and returns the reply unless it is dropped. The delivery continues if the sender disconnects.
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

// duplicateLater schedules a second delivery of a command's first request.
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

// stateOf returns the state of a delivery's command, and creates it if there is none. The caller holds the mutex.
func (l *lossyRelays) stateOf(delivered delivery) *commandState {
	if l.commands[delivered.key()] == nil {
		l.commands[delivered.key()] = &commandState{}
	}
	return l.commands[delivered.key()]
}

// deliver sends a command to a core machine and returns it with the reply.
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
	state := l.stateOf(*got)
	firstConfirmation := got.status == http.StatusOK && !state.confirmed && got.method != http.MethodGet
	state.confirmed = state.confirmed || got.status == http.StatusOK
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

// allDeliveries returns the deliveries so far, in the order of their replies.
func (l *lossyRelays) allDeliveries() []delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]delivery{}, l.deliveries...)
}

// sendUntilDefinite sends a command through the relays of the core machines in turn until a definite reply arrives. It
// returns the status, which is 0 without a definite reply, and the number of attempts.
func (l *lossyRelays) sendUntilDefinite(ctx context.Context, s *system, first int, command delivery) (status int, answer []byte, attempts int) {
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

// sendCommandOnce sends a command once, with the timeout of an operator.
func (s *system) sendCommandOnce(ctx context.Context, server string, command delivery) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	header := http.Header{}
	if command.ifMatch != "" {
		header.Set("If-Match", command.ifMatch)
	}
	return s.sendWith(ctx, header, command.method, server+command.path, []byte(command.body))
}

// putCommand returns the command that replaces the configuration of a version by a body.
func putCommand(ifMatch int64, body []byte) delivery {
	return delivery{method: http.MethodPut, path: controlPath, ifMatch: strconv.FormatInt(ifMatch, 10), body: string(body)}
}
