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
	answerPatience = time.Second            // after which an operator turns to another machine
	betweenTries   = 150 * time.Millisecond // upper bounds
	betweenOrders  = 250 * time.Millisecond
	relayDelay     = 20 * time.Millisecond
	awakeDelay     = time.Millisecond
	copyDelay      = 4 * time.Second // of the copies that relays make
	swallowChance  = 0.15
	copyChance     = 0.1
	againChance    = 0.3 // that an operator sends an earlier order once more
	twinChance     = 0.15
	staleChance    = 0.15
	readChance     = 0.2
	twinTimeout    = 777
)

// operator sends orders through relays that swallow, delay and double.
type operator struct {
	number  int
	cluster *modelCluster
	judge   *judge
	random  *rand.Rand
	known   uint64 // newest version that it was told of
	before  uint64 // the one before that
	made    int    // orders so far
}

// work lasts until the context ends; an order that is under way then is brought to its end, or until the last moment.
func (o *operator) work(ctx, last context.Context) {
	for ctx.Err() == nil {
		<-time.After(o.below(betweenOrders))
		if o.random.Float64() < readChance || o.known == 0 && o.judge.newest() > 0 {
			o.read(last)
			continue
		}
		o.sendUntilClear(last, o.next())
	}
}

func (o *operator) below(bound time.Duration) time.Duration {
	return time.Duration(o.random.Int64N(int64(bound))) + 1
}

// next is an order: a new one, one that another operator may make as well, or an earlier one.
func (o *operator) next() sentOrder {
	if earlier, found := o.judge.earlier(o.random.IntN); found && o.random.Float64() < againChance {
		return earlier
	}
	base := o.known
	if o.random.Float64() < staleChance {
		base = o.before
	}
	o.made++
	timeout := 1000*(o.number+1) + o.made
	if o.random.Float64() < twinChance {
		return newOrder(base, base+1, twinTimeout)
	}
	return newOrder(base, base+1+uint64(o.random.IntN(3)), timeout)
}

func (o *operator) told(version uint64) {
	if version > o.known {
		o.before, o.known = o.known, version
	}
}

// sendUntilClear sends an order to one machine after the other until the answer is clear.
func (o *operator) sendUntilClear(last context.Context, order sentOrder) {
	o.judge.sent(order)
	for last.Err() == nil {
		clear, status := o.sendOnce(order)
		if clear {
			if status == http.StatusOK {
				o.told(order.version)
			} else {
				o.read(last)
			}
			return
		}
		<-time.After(o.below(betweenTries))
	}
	o.judge.mutex.Lock()
	defer o.judge.mutex.Unlock()
	o.judge.problem("no clear answer after the end of all faults to %+v", order)
}

// sendOnce sends an order to one machine. Its relay may swallow the answer, or send a copy to another machine later.
func (o *operator) sendOnce(order sentOrder) (clear bool, status int) {
	address, swallowed := o.pick(), o.random.Float64() < swallowChance
	there, back, awake := o.below(relayDelay), o.below(relayDelay), o.below(awakeDelay)
	if o.random.Float64() < copyChance {
		o.cluster.tasks.Go(o.copyLater(order, o.pick(), o.below(copyDelay), o.below(awakeDelay)))
	}
	statuses := make(chan int, 1)
	o.cluster.tasks.Go(func() {
		<-time.After(there)
		status := o.put(address, order, awake)
		<-time.After(back)
		if !swallowed {
			statuses <- status
		}
	})
	select {
	case status = <-statuses:
		return status >= 200 && status < 500, status
	case <-time.After(answerPatience):
		return false, 0
	}
}

func (o *operator) copyLater(order sentOrder, address string, after, awake time.Duration) func() {
	return func() {
		<-time.After(after)
		o.put(address, order, awake)
	}
}

// put lets a machine answer an order, and the judge hear of it.
func (o *operator) put(address string, order sentOrder, awake time.Duration) int {
	put := request(http.MethodPut, control.Path, []byte(order.body))
	put.Header.Set("If-Match", strconv.FormatUint(order.ifMatch, 10))
	answer, sent := o.exchange(address, put, awake)
	if !sent {
		return http.StatusBadGateway
	}
	o.judge.answered(address, order, answer.Code)
	return answer.Code
}

// exchange is one request at a machine; false where the process is gone before its answer.
func (o *operator) exchange(address string, request *http.Request, awake time.Duration) (*httptest.ResponseRecorder, bool) {
	o.cluster.network.awake(address, awake)
	m := o.cluster.at(address)
	if m == nil {
		return nil, false
	}
	answer := httptest.NewRecorder()
	m.control.ServeHTTP(answer, request)
	o.cluster.network.awake(address, awake)
	return answer, m.store.alive()
}

// read asks machines for the configuration until one answers.
func (o *operator) read(last context.Context) {
	for last.Err() == nil {
		if version, read := o.readOnce(o.pick()); read {
			o.told(version)
			return
		}
		<-time.After(o.below(betweenTries))
	}
}

func (o *operator) readOnce(address string) (version uint64, read bool) {
	newest := o.judge.newest()
	answer, sent := o.exchange(address, request(http.MethodGet, control.Path, nil), o.below(awakeDelay))
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
		if want := fmt.Sprintf(`{"version":%d,`, version); !strings.HasPrefix(body, want) {
			version = 0 // the judge finds it too old
		}
	}
	o.judge.read(address, newest, version, body)
	return version, true
}

// pick chooses one of the machines that run.
func (o *operator) pick() string {
	o.cluster.mutex.Lock()
	defer o.cluster.mutex.Unlock()
	var addresses []string
	for address := range o.cluster.running {
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 {
		return ""
	}
	slices.Sort(addresses)
	return addresses[o.random.IntN(len(addresses))]
}
