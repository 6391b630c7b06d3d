package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/control"
)

// Behavior of operators and of the relays between them and the members, in virtual time.
const (
	answerTimeout         = time.Second            // after this an operator tries another member
	maxRetryInterval      = 150 * time.Millisecond // until an update is sent again
	maxUpdateInterval     = 250 * time.Millisecond
	maxRelayDelay         = 20 * time.Millisecond
	maxResumeDelay        = time.Millisecond
	maxDuplicateDelay     = 4 * time.Second // of requests that relays duplicate
	dropAnswerProbability = 0.15
	duplicateProbability  = 0.1
	resendProbability     = 0.3 // that an operator resends an earlier update
	sameBodyProbability   = 0.15
	staleBaseProbability  = 0.15
	readProbability       = 0.2
	sharedTimeoutMS       = 777
)

// operator sends updates through relays, which drop answers, delay requests and duplicate them.
type operator struct {
	number       int
	cluster      *simulatedCluster
	checker      *checker
	random       *rand.Rand
	newestSeen   uint64 // newest version that the operator has received
	previousSeen uint64 // version received before newestSeen
	updatesSent  int    // number of updates sent so far
}

// run sends updates and reads until ctx ends. An update that is in flight then is resent until its answer is clear or deadline
// ends.
func (o *operator) run(ctx, deadline context.Context) {
	for ctx.Err() == nil {
		<-time.After(o.randomBelow(maxUpdateInterval))
		if o.random.Float64() < readProbability || o.newestSeen == 0 && o.checker.newestVersion() > 0 {
			o.read(deadline)
			continue
		}
		o.sendUntilClear(deadline, o.nextUpdate())
	}
}

func (o *operator) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(o.random.Int64N(int64(bound))) + 1
}

// nextUpdate returns a new update, an update that another operator may send as well, or an update that was sent before.
func (o *operator) nextUpdate() sentUpdate {
	if earlier, found := o.checker.pickSent(o.random.IntN); found && o.random.Float64() < resendProbability {
		return earlier
	}
	base := o.newestSeen
	if o.random.Float64() < staleBaseProbability {
		base = o.previousSeen
	}
	o.updatesSent++
	timeout := 1000*(o.number+1) + o.updatesSent
	if o.random.Float64() < sameBodyProbability {
		return newUpdateRequest(base, base+1, sharedTimeoutMS)
	}
	return newUpdateRequest(base, base+1+uint64(o.random.IntN(3)), timeout)
}

func (o *operator) observe(version uint64) {
	if version > o.newestSeen {
		o.previousSeen, o.newestSeen = o.newestSeen, version
	}
}

// sendUntilClear sends an update to one random member after another until the answer is clear.
func (o *operator) sendUntilClear(deadline context.Context, update sentUpdate) {
	o.checker.recordSent(update)
	for deadline.Err() == nil {
		isClear, status := o.sendOnce(update)
		if isClear {
			if status == http.StatusOK {
				o.observe(update.version)
			} else {
				o.read(deadline)
			}
			return
		}
		<-time.After(o.randomBelow(maxRetryInterval))
	}
	o.checker.mutex.Lock()
	defer o.checker.mutex.Unlock()
	o.checker.addViolation("no clear answer after all faults have ended: %+v", update)
}

// sendOnce sends an update to one member. The relay may drop the answer, or send a duplicate to another member later.
func (o *operator) sendOnce(update sentUpdate) (isClear bool, status int) {
	address, dropped := o.pickMember(), o.random.Float64() < dropAnswerProbability
	requestDelay, answerDelay, resumeDelay := o.randomBelow(maxRelayDelay), o.randomBelow(maxRelayDelay), o.randomBelow(maxResumeDelay)
	if o.random.Float64() < duplicateProbability {
		o.cluster.tasks.Go(o.sendDuplicateAfter(update, o.pickMember(), o.randomBelow(maxDuplicateDelay), o.randomBelow(maxResumeDelay)))
	}
	statuses := make(chan int, 1)
	o.cluster.tasks.Go(func() {
		<-time.After(requestDelay)
		status := o.put(address, update, resumeDelay)
		<-time.After(answerDelay)
		if !dropped {
			statuses <- status
		}
	})
	select {
	case status = <-statuses:
		return status >= 200 && status < 500, status
	case <-time.After(answerTimeout):
		return false, 0
	}
}

func (o *operator) sendDuplicateAfter(update sentUpdate, address string, delay, resumeDelay time.Duration) func() {
	return func() {
		<-time.After(delay)
		o.put(address, update, resumeDelay)
	}
}

// put sends an update to a member and passes the answer to the checker.
func (o *operator) put(address string, update sentUpdate, resumeDelay time.Duration) int {
	put := newServerRequest(http.MethodPut, control.ConfigurationPath, []byte(update.body))
	put.Header.Set("If-Match", strconv.FormatUint(update.ifMatch, 10))
	answer, sent := o.sendRequest(address, put, resumeDelay)
	if !sent {
		return http.StatusBadGateway
	}
	o.checker.checkAnswer(address, update, answer.Code)
	return answer.Code
}

// sendRequest sends a request to a member. It returns false if the process was killed before it answered.
func (o *operator) sendRequest(address string, request *http.Request, resumeDelay time.Duration) (*httptest.ResponseRecorder, bool) {
	o.cluster.network.waitWhileFrozen(address, resumeDelay)
	process := o.cluster.process(address)
	if process == nil {
		return nil, false
	}
	answer := httptest.NewRecorder()
	process.control.ServeHTTP(answer, request)
	o.cluster.network.waitWhileFrozen(address, resumeDelay)
	return answer, process.store.Alive()
}

// read requests the configuration from one random member after another until one answers.
func (o *operator) read(deadline context.Context) {
	for deadline.Err() == nil {
		if version, read := o.readOnce(o.pickMember()); read {
			o.observe(version)
			return
		}
		<-time.After(o.randomBelow(maxRetryInterval))
	}
}

func (o *operator) readOnce(address string) (version uint64, read bool) {
	newestAtStart := o.checker.newestVersion()
	answer, sent := o.sendRequest(address, newServerRequest(http.MethodGet, control.ConfigurationPath, nil), o.randomBelow(maxResumeDelay))
	if !sent || answer.Code != http.StatusOK && answer.Code != http.StatusNotFound {
		return 0, false
	}
	body := ""
	if answer.Code == http.StatusOK {
		tag, err := strconv.Unquote(answer.Header().Get("ETag"))
		if err != nil {
			return 0, false
		}
		version, _ = strconv.ParseUint(tag, 10, 64)
		body = answer.Body.String()
		if expected := fmt.Sprintf(`{"version":%d,`, version); !strings.HasPrefix(body, expected) {
			version = 0 // the checker reports it as outdated
		}
	}
	o.checker.checkReadAnswer(address, newestAtStart, version, body)
	return version, true
}

// pickMember returns the address of a random running member, or an empty string if none runs.
func (o *operator) pickMember() string {
	o.cluster.mutex.Lock()
	defer o.cluster.mutex.Unlock()
	var addresses []string
	for address := range o.cluster.processes {
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	return addresses[o.random.IntN(len(addresses))]
}
