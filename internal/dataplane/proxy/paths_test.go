package proxy

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// allMethods are the methods of requests about jobs, with their bodies.
var allMethods = map[string]string{http.MethodPost: testJob, http.MethodGet: "", http.MethodDelete: ""}

// A job whose queue was removed must not be reported as gone because its path begins with the prefix of another queue: guards against 410
// for jobs that run, and against cancellations that are answered and cancel nothing (review case 6).
func TestJobOfRemovedQueueBeneathAnotherIsNotGone(t *testing.T) {
	const urgent = testPrefix + "urgent/"
	leader := newFakeLeader(t).acceptSubmissions().answerJobQueries(true, "running")
	nested := configurationOf(3000)
	nested.Others = []string{urgent}
	f := newFixture(t, snapshotOf(nested, leader.address(), 1))
	Convey("Given a job that a queue beneath another one has accepted", t, func() {
		So(f.send(http.MethodPost, urgent+testID, testJob).status, ShouldEqual, http.StatusOK)
		So(f.send(http.MethodGet, urgent+testID, "").status, ShouldEqual, http.StatusOK)
		Convey("when the queue is removed, every request about it is answered 404 without a call", func() {
			f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion, s.Configuration = 2, configurationOf(3000).raw() })
			f.awaitView(func(v *view) bool { return v.version == 2 })
			calls := leader.callCount()
			for method, body := range allMethods {
				So(f.send(method, urgent+testID, body).status, ShouldEqual, http.StatusNotFound)
			}
			So(f.send(http.MethodGet, urgent, "").status, ShouldEqual, http.StatusNotFound)
			So(leader.callCount(), ShouldEqual, calls)
			Convey("and 503 while that configuration may be old", func() {
				f.agent.setCurrent(false)
				f.agent.change(func(s *feed.Snapshot) { s.ConfigurationVersion = 3 })
				f.awaitView(func(v *view) bool { return v.version == 3 })
				for method, body := range allMethods {
					So(f.send(method, urgent+testID, body).status, ShouldEqual, http.StatusServiceUnavailable)
				}
			})
		})
	})
}

func TestPathAddressesOneJobOrNone(t *testing.T) {
	const likeAnID = testPrefix + "5c0e" // a prefix that begins like the ID of a job of the queue above it
	leader := newFakeLeader(t).acceptSubmissions().answerJobQueries(true, "running")
	configuration := configurationOf(3000)
	configuration.Others = []string{"/open", likeAnID}
	f := newFixture(t, snapshotOf(configuration, leader.address(), 1))
	addressed := []string{
		testPrefix + "0123456789abcdef", testPrefix + "0123456789ABCDEF", testPrefix + "%30123456789abcdef", testPrefix + "0123456789abcdef?a=b",
		"/open0123456789abcdef", likeAnID + "0123456789abcdef",
	}
	unaddressed := []string{
		testPrefix + "short", testPrefix + "0123456789abcde", testPrefix + "0123456789abcdef0", testPrefix + "0123456789abcdeg",
		testPrefix + "0123456789abcdef/", testPrefix + "0123456789abcdef%2F", testPrefix + "/0123456789abcdef", testPrefix + "./0123456789abcdef",
		testPrefix + "../prices/0123456789abcdef", "/" + testPrefix + "0123456789abcdef", "/open/0123456789abcdef", "/ope", testPrefix[:len(testPrefix)-1],
		testPrefix + testID, // hidden by the prefix that begins like it
	}
	Convey("A path whose last 16 characters are an ID after the longest prefix addresses that job", t, func() {
		for _, path := range addressed {
			for method, body := range allMethods {
				So(f.send(method, path, body).status, ShouldEqual, http.StatusOK)
			}
		}
	})
	Convey("Every other path addresses nothing, so that no answer is about a job", t, func() {
		calls := leader.callCount()
		for _, path := range unaddressed {
			for method, body := range allMethods {
				So(f.send(method, path, body).status, ShouldEqual, http.StatusNotFound)
			}
		}
		So(leader.callCount(), ShouldEqual, calls)
	})
}
