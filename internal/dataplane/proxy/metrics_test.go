package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"
)

// sampleCounts returns the values of counters and the numbers of observations, by metric and label values.
func sampleCounts(collectors ...prometheus.Collector) map[string]float64 {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors...)
	families, err := registry.Gather()
	So(err, ShouldBeNil)
	counts := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			name := family.GetName()
			for _, label := range metric.GetLabel() {
				name += " " + label.GetValue()
			}
			counts[name] = metric.GetCounter().GetValue() + float64(metric.GetHistogram().GetSampleCount())
		}
	}
	return counts
}

func TestAnswersAreCountedByMethodAndStatus(t *testing.T) {
	Convey("Answers are counted by method and status", t, func() {
		requests := NewRequestMetrics()
		h := &handler{now: time.Now, requests: requests, feed: newFeedFollower("", nil, nil, nil)}
		for _, method := range []string{http.MethodPost, http.MethodPost, "ODD"} {
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, "/x", nil))
		}
		So(sampleCounts(requests.requests, requests.seconds), ShouldResemble, map[string]float64{
			"puffinlink_requests_total POST 503": 2, "puffinlink_requests_total other 503": 1,
			"puffinlink_request_seconds POST": 2, "puffinlink_request_seconds other": 1,
		})
	})
	Convey("Without metrics a request is served and nothing is counted", t, func() {
		h := &handler{now: time.Now, feed: newFeedFollower("", nil, nil, nil)}
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", nil))
		So(h.statusObserver(nil, time.Now()), ShouldBeNil)
	})
}
