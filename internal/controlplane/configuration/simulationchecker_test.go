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

// sentOrder is an order of an operator. Two operators may send the same one.
type sentOrder struct {
	ifMatch uint64
	version uint64
	body    string
}

func newOrder(ifMatch, version uint64, timeoutMS int) sentOrder {
	return sentOrder{ifMatch, version, fmt.Sprintf(
		`{"version":%d,"routes":[{"name":"r","host":"h","pathPrefix":"/","timeoutMs":%d,"service":"s"}],"services":[{"name":"s"}]}`,
		version, timeoutMS)}
}

// fate is what the machines have answered to an order.
type fate struct{ confirmed, refused bool }

// judge hears every answer that a machine gave, also those that the operator never got.
type judge struct {
	began time.Time

	mutex    sync.Mutex // guards what follows
	fates    map[sentOrder]*fate
	orders   []sentOrder          // in the order in which they were first sent
	onTop    map[uint64]sentOrder // confirmed, by the version that they were built on
	numbered map[uint64]sentOrder // the same by their own version
	highest  uint64               // version that was confirmed or read
	answers  int
	problems []string
	trace    []string
}

func newJudge() *judge {
	return &judge{
		began: time.Now(), fates: make(map[sentOrder]*fate), onTop: make(map[uint64]sentOrder), numbered: make(map[uint64]sentOrder),
	}
}

// problem notes what must not be. The caller holds the mutex.
func (j *judge) problem(format string, arguments ...any) {
	j.problems = append(j.problems, fmt.Sprintf("after %v: ", time.Since(j.began))+fmt.Sprintf(format, arguments...))
}

func (j *judge) note(format string, arguments ...any) {
	j.trace = append(j.trace, time.Since(j.began).String()+" "+fmt.Sprintf(format, arguments...))
}

// sent notes an order before it is sent for the first time.
func (j *judge) sent(order sentOrder) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.fates[order] == nil {
		j.fates[order] = &fate{}
		j.orders = append(j.orders, order)
	}
}

// earlier returns an order that was sent before; false while there is none.
func (j *judge) earlier(pick func(count int) int) (sentOrder, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if len(j.orders) == 0 {
		return sentOrder{}, false
	}
	return j.orders[pick(len(j.orders))], true
}

// answered judges a machine's answer to an order, and tells whether it is a clear one.
func (j *judge) answered(address string, order sentOrder, status int) bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.note("%s answers %d to %d on top of %d", address, status, order.version, order.ifMatch)
	switch {
	case status == http.StatusOK:
		j.answers++
		j.confirm(address, order)
		return true
	case status >= 400 && status < 500:
		j.answers++
		if j.fates[order].confirmed {
			j.problem("%s refuses with %d what was confirmed: %+v", address, status, order)
		}
		j.fates[order].refused = true
		return true
	}
	return false
}

func (j *judge) confirm(address string, order sentOrder) {
	if j.fates[order].refused {
		j.problem("%s confirms what was refused: %+v", address, order)
	}
	if other, found := j.onTop[order.ifMatch]; found && other != order {
		j.problem("%s confirms %+v, and %+v was confirmed on top of the same version", address, order, other)
	}
	if other, found := j.numbered[order.version]; found && other != order {
		j.problem("%s confirms %+v, and %+v was confirmed under the same number", address, order, other)
	}
	j.fates[order].confirmed = true
	j.onTop[order.ifMatch], j.numbered[order.version] = order, order
	j.highest = max(j.highest, order.version)
}

// newest is the highest version that anybody was told of.
func (j *judge) newest() uint64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.highest
}

// read judges an answer to a reader who came when newest was the highest version that anybody knew.
func (j *judge) read(address string, newest, version uint64, body string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.note("%s is read: %d", address, version)
	j.answers++
	if version < newest {
		j.problem("%s is read at version %d after version %d was in force", address, version, newest)
	}
	j.highest = max(j.highest, version)
	for order, fate := range j.fates {
		if order.version == version && order.body == body && fate.refused && !fate.confirmed && !j.mayBeTwin(order) {
			j.problem("%s is read: in force is what was refused: %+v", address, order)
		}
	}
}

// mayBeTwin tells whether the same body was also sent on top of another version. The caller holds the mutex.
func (j *judge) mayBeTwin(order sentOrder) bool {
	for other := range j.fates {
		if other.body == order.body && other != order {
			return true
		}
	}
	return false
}

// final judges the history of taken changes at the end.
func (j *judge) final(taken []configuration.Taken) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	version := uint64(0)
	inForce := make(map[[2]uint64]bool)
	for _, change := range taken {
		if change.IfMatch != version {
			j.problem("the change to %d was made on top of %d, not of %d", change.Version, change.IfMatch, version)
		}
		version = change.Version
		inForce[[2]uint64{change.IfMatch, change.Version}] = true
	}
	if version < j.highest {
		j.problem("version %d is in force at the end, and %d was", version, j.highest)
	}
	for order, fate := range j.fates {
		if fate.confirmed && !inForce[[2]uint64{order.ifMatch, order.version}] {
			j.problem("confirmed and not in the history: %+v", order)
		}
		if fate.refused && order.ifMatch == version && order.version > version {
			j.problem("refused although the version that it was built on is in force: %+v", order)
		}
	}
}

// fingerprint is equal for two runs with the same answers at the same times. Answers of one moment have no order.
func (j *judge) fingerprint() uint64 {
	hash := fnv.New64a()
	for _, line := range slices.Sorted(slices.Values(j.trace)) {
		hash.Write([]byte(line))
	}
	return hash.Sum64()
}
