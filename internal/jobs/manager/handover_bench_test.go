package manager

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// manyQueues returns the committed state of a configuration in which a service has a number of queues, and its directory. Earlier is the
// directory before; nil if there is none.
func manyQueues(version uint64, service string, count int, earlier *configuration.QueueDirectory) (configuration.State, *configuration.QueueDirectory) {
	update := &configuration.Configuration{Version: version}
	var routes []byte
	for number := range count {
		prefix := fmt.Sprintf("/plan-%d/", number)
		update.Routes = append(update.Routes, configuration.Route{PathPrefix: prefix, Service: service})
		routes = fmt.Appendf(routes, `{"host":"","pathPrefix":%q,"service":%q},`, prefix, service)
	}
	state := configuration.State{Version: version, Body: fmt.Appendf(nil, `{"routes":[%s],"services":[{"name":"alpha"},{"name":"beta"}]}`, routes[:len(routes)-1])}
	if earlier != nil {
		state.Queues = earlier.HistoriesAfter(update, func(queuekey.Key, configuration.Tenure) bool { return false })
	}
	directory, err := configuration.NewQueueDirectory(state)
	if err != nil {
		panic(err) // cannot happen: the text above is valid JSON
	}
	return state, directory
}

// BenchmarkHandoverOfQueues measures what one change of the configuration costs that gives queues to another service: the time for a
// coordinator to work out their histories and to learn them, the bytes that they add to the register's value, and those of a request to
// release them.
func BenchmarkHandoverOfQueues(b *testing.B) {
	for _, count := range []int{1, 100, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			_, before := manyQueues(movedBefore, "alpha", count, nil)
			var histories []configuration.QueueHistory
			for b.Loop() {
				state, _ := manyQueues(movedSince, "beta", count, before)
				histories = state.Queues
			}
			request := jobapi.ReleaseRequest{Group: feed.GroupOf("alpha"), Version: movedSince}
			for _, history := range histories {
				request.Queues = append(request.Queues, history.Queue)
			}
			b.ReportMetric(float64(encodedBytes(b, histories)), "B/value")
			b.ReportMetric(float64(encodedBytes(b, request)), "B/release")
		})
	}
}

func encodedBytes(b *testing.B, value any) int {
	b.Helper()
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	return len(encoded)
}
