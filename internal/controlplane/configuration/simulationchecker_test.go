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

// sentUpdate is an update that an operator sends. Two operators may send the same update.
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

// observedAnswers records how members have answered an update.
type observedAnswers struct{ confirmed, rejected bool }

// checker checks every answer of a member, including those that the operator never received.
type checker struct {
	start time.Time

	mutex              sync.Mutex // guards the fields below
	answersByRequest   map[sentUpdate]*observedAnswers
	requests           []sentUpdate          // in the order in which they were first sent
	confirmedByBase    map[uint64]sentUpdate // confirmed updates by the version that they are based on
	confirmedByVersion map[uint64]sentUpdate // confirmed updates by their own version
	highestVersion     uint64                // highest version that was confirmed or read
	answers            int
	violations         []string
	trace              []string
}

func newChecker() *checker {
	return &checker{
		start: time.Now(), answersByRequest: make(map[sentUpdate]*observedAnswers), confirmedByBase: make(map[uint64]sentUpdate), confirmedByVersion: make(map[uint64]sentUpdate),
	}
}

// addViolation records a violation of the specification. The caller must hold the mutex.
func (c *checker) addViolation(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf("after %v: ", time.Since(c.start))+fmt.Sprintf(format, arguments...))
}

func (c *checker) addTrace(format string, arguments ...any) {
	c.trace = append(c.trace, time.Since(c.start).String()+" "+fmt.Sprintf(format, arguments...))
}

// recordSent records an update before it is sent for the first time.
func (c *checker) recordSent(update sentUpdate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.answersByRequest[update] == nil {
		c.answersByRequest[update] = &observedAnswers{}
		c.requests = append(c.requests, update)
	}
}

// pickSent returns an update that was sent before. It returns false if there is none.
func (c *checker) pickSent(pick func(count int) int) (sentUpdate, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.requests) == 0 {
		return sentUpdate{}, false
	}
	return c.requests[pick(len(c.requests))], true
}

// checkAnswer checks a member's answer to an update, and reports whether the answer is clear.
func (c *checker) checkAnswer(address string, update sentUpdate, status int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addTrace("%s answers %d to %d on top of %d", address, status, update.version, update.ifMatch)
	switch {
	case status == http.StatusOK:
		c.answers++
		c.checkConfirmed(address, update)
		return true
	case status >= 400 && status < 500:
		c.answers++
		if c.answersByRequest[update].confirmed {
			c.addViolation("%s rejects with %d an update that was confirmed: %+v", address, status, update)
		}
		c.answersByRequest[update].rejected = true
		return true
	}
	return false
}

func (c *checker) checkConfirmed(address string, update sentUpdate) {
	if c.answersByRequest[update].rejected {
		c.addViolation("%s confirms an update that was rejected: %+v", address, update)
	}
	if other, found := c.confirmedByBase[update.ifMatch]; found && other != update {
		c.addViolation("%s confirms %+v, but %+v was confirmed on top of the same version", address, update, other)
	}
	if other, found := c.confirmedByVersion[update.version]; found && other != update {
		c.addViolation("%s confirms %+v, but %+v was confirmed with the same version", address, update, other)
	}
	c.answersByRequest[update].confirmed = true
	c.confirmedByBase[update.ifMatch], c.confirmedByVersion[update.version] = update, update
	c.highestVersion = max(c.highestVersion, update.version)
}

// newestVersion returns the highest version that was confirmed or read.
func (c *checker) newestVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.highestVersion
}

// checkReadAnswer checks the answer to a read. When the read began, newestAtStart was the highest version confirmed or read.
func (c *checker) checkReadAnswer(address string, newestAtStart, version uint64, body string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.addTrace("read of %s returns version %d", address, version)
	c.answers++
	if version < newestAtStart {
		c.addViolation("read of %s returns version %d after version %d was in force", address, version, newestAtStart)
	}
	c.highestVersion = max(c.highestVersion, version)
	for update, answers := range c.answersByRequest {
		if update.version == version && update.body == body && answers.rejected && !answers.confirmed && !c.hasSameBodyElsewhere(update) {
			c.addViolation("read of %s returns an update that was rejected: %+v", address, update)
		}
	}
}

// hasSameBodyElsewhere reports whether the same body was also sent on top of another version. The caller must hold the mutex.
func (c *checker) hasSameBodyElsewhere(update sentUpdate) bool {
	for other := range c.answersByRequest {
		if other.body == update.body && other != update {
			return true
		}
	}
	return false
}

// checkHistory checks the final history of applied updates.
func (c *checker) checkHistory(history []configuration.AppliedUpdate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	version := uint64(0)
	inForce := make(map[[2]uint64]bool)
	for _, applied := range history {
		if applied.IfMatch != version {
			c.addViolation("the update to version %d was applied on top of version %d instead of version %d", applied.Version, applied.IfMatch, version)
		}
		version = applied.Version
		inForce[[2]uint64{applied.IfMatch, applied.Version}] = true
	}
	if version < c.highestVersion {
		c.addViolation("version %d is in force at the end, but version %d was in force before", version, c.highestVersion)
	}
	for update, answers := range c.answersByRequest {
		if answers.confirmed && !inForce[[2]uint64{update.ifMatch, update.version}] {
			c.addViolation("confirmed update is not in the history: %+v", update)
		}
		if answers.rejected && update.ifMatch == version && update.version > version {
			c.addViolation("rejected update is based on the version in force: %+v", update)
		}
	}
}

// fingerprint returns a hash that is equal for two runs with the same answers at the same times. The order of simultaneous answers
// does not matter.
func (c *checker) fingerprint() uint64 {
	hash := fnv.New64a()
	for _, line := range slices.Sorted(slices.Values(c.trace)) {
		hash.Write([]byte(line))
	}
	return hash.Sum64()
}
