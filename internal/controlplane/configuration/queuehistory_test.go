package configuration

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

var planQueue, checkQueue = queuekey.Of("jobs.example", "/plan/"), queuekey.Of("jobs.example", "/check/")

// queueLog applies updates to a state, each with the services of the queues /plan/ and /check/. An empty service leaves a queue out.
type queueLog struct {
	state   State
	retired RetiredFunc
}

func (l *queueLog) apply(t *testing.T, version uint64, plan, check string) *QueueDirectory {
	t.Helper()
	update := &Configuration{Version: version}
	routes := ""
	for prefix, service := range map[string]string{"/plan/": plan, "/check/": check} {
		if service == "" {
			continue
		}
		update.Routes = append(update.Routes, Route{Host: "jobs.example", PathPrefix: prefix, Service: service})
		if routes != "" {
			routes += ","
		}
		routes += fmt.Sprintf(`{"name":"r-%d%s","host":"jobs.example","pathPrefix":%q,"service":%q}`, version, service, prefix, service)
	}
	current, err := NewQueueDirectory(l.state)
	if err != nil {
		t.Fatal(err)
	}
	retired := l.retired
	if retired == nil {
		retired = func(queuekey.Key, Tenure) bool { return false }
	}
	request := updateRequest{version: version, ifMatch: l.state.Version, body: fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"alpha"}]}`, version, routes)}
	value, err := l.state.apply(request, current.HistoriesAfter(update, retired)).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if l.state, err = DecodeState(value); err != nil {
		t.Fatal(err)
	}
	next, err := NewQueueDirectory(l.state)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestDirectoryTellsEarlierServicesOfQueues(t *testing.T) {
	Convey("Given a queue that was never moved", t, func() {
		var log queueLog
		log.apply(t, 1, "alpha", "beta")
		directory := log.apply(t, 5, "alpha", "beta")
		Convey("it has only its service, and takes no space in the register", func() {
			latest, found := directory.Latest(planQueue, "alpha")
			So(found, ShouldBeTrue)
			So(latest, ShouldResemble, Tenure{Service: "alpha"})
			So(directory.Others(planQueue, "alpha"), ShouldBeEmpty)
			_, found = directory.Latest(planQueue, "beta")
			So(found, ShouldBeFalse)
			So(log.state.Queues, ShouldBeNil)
		})
		Convey("once it has moved, both services' tenures are known", func() {
			directory = log.apply(t, 7, "beta", "beta")
			latest, _ := directory.Latest(planQueue, "beta")
			So(latest, ShouldResemble, Tenure{Service: "beta", Since: 7})
			ended, _ := directory.Latest(planQueue, "alpha")
			So(ended, ShouldResemble, Tenure{Service: "alpha", Until: 7})
			So(directory.Others(planQueue, "beta"), ShouldResemble, []Tenure{ended})
			So(directory.Others(planQueue, "alpha"), ShouldResemble, []Tenure{latest})
			So(directory.Others(checkQueue, "beta"), ShouldBeEmpty)
		})
		Convey("once it was removed and added for another service, the same is known", func() {
			directory = log.apply(t, 7, "", "beta")
			ended, _ := directory.Latest(planQueue, "alpha")
			So(ended, ShouldResemble, Tenure{Service: "alpha", Until: 7})
			So(directory.Others(planQueue, "beta"), ShouldResemble, []Tenure{ended})
			directory = log.apply(t, 9, "beta", "beta")
			latest, _ := directory.Latest(planQueue, "beta")
			So(latest, ShouldResemble, Tenure{Service: "beta", Since: 9})
			So(directory.Others(planQueue, "beta"), ShouldResemble, []Tenure{ended})
		})
		Convey("once it has moved away and back, its first service has a new tenure and the other one is known", func() {
			log.apply(t, 7, "beta", "beta")
			directory = log.apply(t, 9, "alpha", "beta")
			latest, _ := directory.Latest(planQueue, "alpha")
			So(latest, ShouldResemble, Tenure{Service: "alpha", Since: 9})
			So(directory.Others(planQueue, "alpha"), ShouldResemble, []Tenure{{Service: "beta", Since: 7, Until: 9}})
			Convey("and once it has moved on, only the latest tenure of each is kept", func() {
				directory = log.apply(t, 11, "gamma", "beta")
				So(directory.Others(planQueue, "gamma"), ShouldResemble, []Tenure{{Service: "beta", Since: 7, Until: 9}, {Service: "alpha", Since: 9, Until: 11}})
			})
		})
		Convey("a service that is in no configuration any more is listed while it may know jobs", func() {
			directory = log.apply(t, 7, "gamma", "")
			So(directory.Services(), ShouldResemble, []string{"alpha", "beta"}) // alpha is configured, beta is not
		})
	})
	Convey("Given a queue that has moved", t, func() {
		var log queueLog
		log.apply(t, 1, "alpha", "beta")
		log.apply(t, 3, "beta", "")
		Convey("its ended tenure is dropped with an update once it is retired", func() {
			log.retired = func(queue queuekey.Key, ended Tenure) bool { return queue == planQueue && ended.Until == 3 }
			directory := log.apply(t, 5, "beta", "")
			So(directory.Others(planQueue, "beta"), ShouldBeEmpty)
			_, found := directory.Latest(planQueue, "alpha")
			So(found, ShouldBeFalse)
			So(directory.Others(checkQueue, "alpha"), ShouldHaveLength, 1)
		})
	})
}

func TestHistoriesAreBounded(t *testing.T) {
	Convey("The tenures that ended first are dropped when there are too many", t, func() {
		var histories []QueueHistory
		for key := range queuekey.Key(10) {
			histories = append(histories, QueueHistory{Queue: key + 1, Earlier: []Tenure{{Service: "alpha", Until: uint64(key) + 1}, {Service: "beta", Until: 20}}})
		}
		kept := dropOldestTenures(histories, 15)
		count := 0
		for _, history := range kept {
			count += len(history.Earlier)
			for _, tenure := range history.Earlier {
				So(tenure.Until, ShouldBeGreaterThan, 5)
			}
		}
		So(count, ShouldEqual, 15)
		So(dropOldestTenures(kept, 15), ShouldResemble, kept)
	})
}
