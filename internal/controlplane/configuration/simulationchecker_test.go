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

// recordSent records an update before it is sent for the first time.
func (j *checker) recordSent(update sentUpdate) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.answersByRequest[update] == nil {
		j.answersByRequest[update] = &answersSeen{}
		j.requests = append(j.requests, update)
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

// checkAnswer checks a member's answer to an update, and reports whether it is a clear one.
func (j *checker) checkAnswer(address string, update sentUpdate, status int) bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.record("%s answers %d to %d on top of %d", address, status, update.version, update.ifMatch)
	switch {
	case status == http.StatusOK:
		j.answers++
		j.checkConfirmed(address, update)
		return true
	case status >= 400 && status < 500:
		j.answers++
		if j.answersByRequest[update].confirmed {
			j.violation("%s refuses with %d what was confirmed: %+v", address, status, update)
		}
		j.answersByRequest[update].refused = true
		return true
	}
	return false
}

func (j *checker) checkConfirmed(address string, update sentUpdate) {
	if j.answersByRequest[update].refused {
		j.violation("%s confirms what was refused: %+v", address, update)
	}
	if other, found := j.confirmedByBase[update.ifMatch]; found && other != update {
		j.violation("%s confirms %+v, and %+v was confirmed on top of the same version", address, update, other)
	}
	if other, found := j.confirmedByVersion[update.version]; found && other != update {
		j.violation("%s confirms %+v, and %+v was confirmed under the same number", address, update, other)
	}
	j.answersByRequest[update].confirmed = true
	j.confirmedByBase[update.ifMatch], j.confirmedByVersion[update.version] = update, update
	j.highest = max(j.highest, update.version)
}

// newest is the highest version that was confirmed or read.
func (j *checker) newest() uint64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.highest
}

// checkRead checks the answer to a read that began when newest was the highest version confirmed or read.
func (j *checker) checkRead(address string, newest, version uint64, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.record("%s is read: %d", address, version)
	j.answers++
	if version < newest {
		j.violation("%s is read at version %d after version %d was in force", address, version, newest)
	}
	j.highest = max(j.highest, version)
	for update, fate := range j.answersByRequest {
		if update.version == version && update.body == body && fate.refused && !fate.confirmed && !j.hasSameBodyElsewhere(update) {
			j.violation("%s is read: in force is what was refused: %+v", address, update)
		}
	}
}

// hasSameBodyElsewhere reports whether the same body was also sent on top of another version. The caller holds the mutex.
func (j *checker) hasSameBodyElsewhere(update sentUpdate) bool {
	for other := range j.answersByRequest {
		if other.body == update.body && other != update {
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
	for update, fate := range j.answersByRequest {
		if fate.confirmed && !inForce[[2]uint64{update.ifMatch, update.version}] {
			j.violation("confirmed and not in the history: %+v", update)
		}
		if fate.refused && update.ifMatch == version && update.version > version {
			j.violation("refused although the version that it was built on is in force: %+v", update)
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
