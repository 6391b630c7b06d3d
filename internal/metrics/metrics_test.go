package metrics

import (
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

func TestServer(t *testing.T) {
	Convey("Given a server with a gauge and a flag", t, func() {
		value := 3.0
		server, err := NewServer("127.0.0.1:0", zap.NewNop(),
			Gauge("test_value", "A value.", func() float64 { return value }), BoolGauge("test_flag", "A flag.", func() bool { return true }))
		So(err, ShouldBeNil)
		Reset(server.Close)
		client := &http.Client{Transport: &http.Transport{}}
		Reset(client.CloseIdleConnections)
		read := func(path string) (int, string) {
			answer, err := client.Get("http://" + server.Address() + path)
			So(err, ShouldBeNil)
			defer answer.Body.Close()
			text, err := io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			return answer.StatusCode, string(text)
		}

		Convey("a scrape returns their current values and the metrics of the process", func() {
			status, text := read(Path)
			So(status, ShouldEqual, http.StatusOK)
			So(text, ShouldContainSubstring, "\ntest_value 3\n")
			So(text, ShouldContainSubstring, "\ntest_flag 1\n")
			So(text, ShouldContainSubstring, "\ngo_goroutines ")
			value = 4
			_, text = read(Path)
			So(text, ShouldContainSubstring, "\ntest_value 4\n")
		})
		Convey("other paths are not served", func() {
			status, _ := read("/")
			So(status, ShouldEqual, http.StatusNotFound)
		})
		Convey("an address in use is an error that names --metrics", func() {
			_, err := NewServer(server.Address(), zap.NewNop())
			So(err.Error(), ShouldContainSubstring, "--metrics")
		})
		Convey("registering a name twice is an error", func() {
			twice := BoolGauge("test_flag", "A flag.", func() bool { return true })
			_, err := NewServer("127.0.0.1:0", zap.NewNop(), twice, twice)
			So(err, ShouldNotBeNil)
		})
	})
}
