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

// What operators and the relays before them do, in simulated time.
const (
	answerTimeout         = time.Second            // after which an operator sends to another member
	maxRetryInterval      = 150 * time.Millisecond // upper bounds
	maxUpdateInterval     = 250 * time.Millisecond
	maxRelayDelay         = 20 * time.Millisecond
	maxResumeDelay        = time.Millisecond
	maxDuplicateDelay     = 4 * time.Second // of the copies that relays make
	dropAnswerProbability = 0.15
	duplicateProbability  = 0.1
	resendProbability     = 0.3 // that an operator resends an earlier update
	sameBodyProbability   = 0.15
	staleBaseProbability  = 0.15
	readProbability       = 0.2
	sharedTimeoutMS       = 777
)

// operator sends updates through relays that drop answers, delay requests and duplicate them.
type operator struct {
	number       int
	cluster      *simulatedCluster
	checker      *checker
	random       *rand.Rand
	newestSeen   uint64 // newest version that it has received
	previousSeen uint64 // the one before that
	updatesSent  int    // so far
}

// work lasts until ctx ends; an update that is in flight then is resent until its answer is clear, or until last ends.
func (o *operator) work(ctx, last context.Context) {
	for ctx.Err() == nil {
		<-time.After(o.randomBelow(maxUpdateInterval))
		if o.random.Float64() < readProbability || o.newestSeen == 0 && o.checker.newest() > 0 {
			o.read(last)
			continue
		}
		o.sendUntilClear(last, o.nextUpdate())
	}
}

func (o *operator) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(o.random.Int64N(int64(bound))) + 1
}

// nextUpdate is a new update, one that another operator may make as well, or an earlier one.
func (o *operator) nextUpdate() sentUpdate {
	if earlier, found := o.checker.earlier(o.random.IntN); found && o.random.Float64() < resendProbability {
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

// sendUntilClear sends an update to one member after the other until the answer is clear.
func (o *operator) sendUntilClear(last context.Context, update sentUpdate) {
	o.checker.recordSent(update)
	for last.Err() == nil {
		isClear, status := o.sendOnce(update)
		if isClear {
			if status == http.StatusOK {
				o.observe(update.version)
			} else {
				o.read(last)
			}
			return
		}
		<-time.After(o.randomBelow(maxRetryInterval))
	}
	o.checker.mutex.Lock()
	defer o.checker.mutex.Unlock()
	o.checker.violation("no clear answer after the end of all faults to %+v", update)
}

// sendOnce sends an update to one member. The relay may drop the answer, or send a duplicate to another member later.
func (o *operator) sendOnce(update sentUpdate) (isClear bool, status int) {
	address, dropped := o.pick(), o.random.Float64() < dropAnswerProbability
	requestDelay, answerDelay, resumeDelay := o.randomBelow(maxRelayDelay), o.randomBelow(maxRelayDelay), o.randomBelow(maxResumeDelay)
	if o.random.Float64() < duplicateProbability {
		o.cluster.tasks.Go(o.duplicateLater(update, o.pick(), o.randomBelow(maxDuplicateDelay), o.randomBelow(maxResumeDelay)))
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

func (o *operator) duplicateLater(update sentUpdate, address string, after, resumeDelay time.Duration) func() {
	return func() {
		<-time.After(after)
		o.put(address, update, resumeDelay)
	}
}

// put lets a member answer an update, and the checker check the answer.
func (o *operator) put(address string, update sentUpdate, resumeDelay time.Duration) int {
	put := request(http.MethodPut, control.ConfigurationPath, []byte(update.body))
	put.Header.Set("If-Match", strconv.FormatUint(update.ifMatch, 10))
	answer, sent := o.exchange(address, put, resumeDelay)
	if !sent {
		return http.StatusBadGateway
	}
	o.checker.checkAnswer(address, update, answer.Code)
	return answer.Code
}

// exchange is one request at a member; false where the process was killed before its answer.
func (o *operator) exchange(address string, request *http.Request, resumeDelay time.Duration) (*httptest.ResponseRecorder, bool) {
	o.cluster.network.waitWhileFrozen(address, resumeDelay)
	m := o.cluster.process(address)
	if m == nil {
		return nil, false
	}
	answer := httptest.NewRecorder()
	m.control.ServeHTTP(answer, request)
	o.cluster.network.waitWhileFrozen(address, resumeDelay)
	return answer, m.store.Alive()
}

// read requests the configuration from members until one answers.
func (o *operator) read(last context.Context) {
	for last.Err() == nil {
		if version, read := o.readOnce(o.pick()); read {
			o.observe(version)
			return
		}
		<-time.After(o.randomBelow(maxRetryInterval))
	}
}

func (o *operator) readOnce(address string) (version uint64, read bool) {
	newest := o.checker.newest()
	answer, sent := o.exchange(address, request(http.MethodGet, control.ConfigurationPath, nil), o.randomBelow(maxResumeDelay))
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
			version = 0 // the checker finds it too old
		}
	}
	o.checker.checkRead(address, newest, version, body)
	return version, true
}

// pick draws one of the running members.
func (o *operator) pick() string {
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
