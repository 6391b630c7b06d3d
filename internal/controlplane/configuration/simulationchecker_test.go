package configuration_test

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
)

// sentUpdate is an update of an operator. Two operators may send the same one.
type sentUpdate struct {
	ifMatch uint64
	version uint64
	body    string
}

func newUpdateRequest(ifMatch, version uint64, timeoutMS int) sentUpdate {
	return sentUpdate{ifMatch, version, fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":%d,"service":"s"}],"services":[{"name":"s"}]}`,
		version, timeoutMS)}
}

// answersSeen is what members have answered to an update.
type answersSeen struct{ confirmed, refused bool }

// checker gets every answer that a member gave, also those that the operator never received.
type checker struct {
	began time.Time

	mutex              sync.Mutex // guards what follows
	answersByRequest   map[sentUpdate]*answersSeen
	requests           []sentUpdate          // in the order in which they were first sent
	confirmedByBase    map[uint64]sentUpdate // confirmed, by the version that they were built on
	confirmedByVersion map[uint64]sentUpdate // the same by their own version
	highest            uint64                // version that was confirmed or read
	answers            int
	violations         []string
	trace              []string
}

func newChecker() *checker {
	return &checker{
		began: time.Now(), answersByRequest: make(map[sentUpdate]*answersSeen), confirmedByBase: make(map[uint64]sentUpdate), confirmedByVersion: make(map[uint64]sentUpdate),
	}
}

// violation records what must not happen. The caller holds the mutex.
func (j *checker) violation(format string, arguments ...any) {
	j.violations = append(j.violations, fmt.Sprintf("after %v: ", time.Since(j.began))+fmt.Sprintf(format, arguments...))
}

func (j *checker) record(format string, arguments ...any) {
	j.trace = append(j.trace, time.Since(j.began).String()+" "+fmt.Sprintf(format, arguments...))
}

// sent records an update before it is sent for the first time.
func (j *checker) sent(order sentUpdate) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.answersByRequest[order] == nil {
		j.answersByRequest[order] = &answersSeen{}
		j.requests = append(j.requests, order)
	}
}

// earlier returns an update that was sent before; false while there is none.
func (j *checker) earlier(pick func(count int) int) (sentUpdate, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if len(j.requests) == 0 {
		return sentUpdate{}, false
	}
	return j.requests[pick(len(j.requests))], true
}

// answered checks a member's answer to an update, and reports whether it is a clear one.
func (j *checker) answered(address string, order sentUpdate, status int) bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.record("%s answers %d to %d on top of %d", address, status, order.version, order.ifMatch)
	switch {
	case status == http.StatusOK:
		j.answers++
		j.confirm(address, order)
		return true
	case status >= 400 && status < 500:
		j.answers++
		if j.answersByRequest[order].confirmed {
			j.violation("%s refuses with %d what was confirmed: %+v", address, status, order)
		}
		j.answersByRequest[order].refused = true
		return true
	}
	return false
}

func (j *checker) confirm(address string, order sentUpdate) {
	if j.answersByRequest[order].refused {
		j.violation("%s confirms what was refused: %+v", address, order)
	}
	if other, found := j.confirmedByBase[order.ifMatch]; found && other != order {
		j.violation("%s confirms %+v, and %+v was confirmed on top of the same version", address, order, other)
	}
	if other, found := j.confirmedByVersion[order.version]; found && other != order {
		j.violation("%s confirms %+v, and %+v was confirmed under the same number", address, order, other)
	}
	j.answersByRequest[order].confirmed = true
	j.confirmedByBase[order.ifMatch], j.confirmedByVersion[order.version] = order, order
	j.highest = max(j.highest, order.version)
}

// newest is the highest version that was confirmed or read.
func (j *checker) newest() uint64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.highest
}

// readAnswered checks the answer to a read that began when newest was the highest version confirmed or read.
func (j *checker) readAnswered(address string, newest, version uint64, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.record("%s is read: %d", address, version)
	j.answers++
	if version < newest {
		j.violation("%s is read at version %d after version %d was in force", address, version, newest)
	}
	j.highest = max(j.highest, version)
	for order, fate := range j.answersByRequest {
		if order.version == version && order.body == body && fate.refused && !fate.confirmed && !j.hasSameBodyElsewhere(order) {
			j.violation("%s is read: in force is what was refused: %+v", address, order)
		}
	}
}

// hasSameBodyElsewhere reports whether the same body was also sent on top of another version. The caller holds the mutex.
func (j *checker) hasSameBodyElsewhere(order sentUpdate) bool {
	for other := range j.answersByRequest {
		if other.body == order.body && other != order {
			return true
		}
	}
	return false
}

// checkHistory checks the history of applied updates at the end.
func (j *checker) checkHistory(taken []configuration.AppliedUpdate) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	version := uint64(0)
	inForce := make(map[[2]uint64]bool)
	for _, change := range taken {
		if change.IfMatch != version {
			j.violation("the change to %d was made on top of %d, not of %d", change.Version, change.IfMatch, version)
		}
		version = change.Version
		inForce[[2]uint64{change.IfMatch, change.Version}] = true
	}
	if version < j.highest {
		j.violation("version %d is in force at the end, and %d was", version, j.highest)
	}
	for order, fate := range j.answersByRequest {
		if fate.confirmed && !inForce[[2]uint64{order.ifMatch, order.version}] {
			j.violation("confirmed and not in the history: %+v", order)
		}
		if fate.refused && order.ifMatch == version && order.version > version {
			j.violation("refused although the version that it was built on is in force: %+v", order)
		}
	}
}

// fingerprint is equal for two runs with the same answers at the same times. Answers of one moment have no order.
func (j *checker) fingerprint() uint64 {
	hash := fnv.New64a()
	for _, line := range slices.Sorted(slices.Values(j.trace)) {
		hash.Write([]byte(line))
	}
	return hash.Sum64()
}
