package asynclog

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// line is the format of a log line that readers of an aggregator's log rely on.
type line struct {
	Level      string  `json:"level"`
	Time       int64   `json:"time"`
	Aggregator string  `json:"mixer"`
	Message    string  `json:"message"`
	Text       string  `json:"text"`
	Lived      float64 `json:"lived_s"`
}

func TestLogLines(t *testing.T) {
	Convey("The log of an aggregator", t, func() {
		var out bytes.Buffer
		logger := New(zapcore.AddSync(&out)).With(zap.String("mixer", "n1"))
		before := time.Now().UnixMilli()

		Convey("has one JSON object per line, also for text with line breaks and invalid UTF-8", func() {
			logger.Info("connection ended", zap.String("text", "two\nlines \"quoted\" \xff"), zap.Float64("lived_s", 0.25))
			logger.Warn("http")
			logger.Debug("module")
			texts := strings.SplitAfter(out.String(), "\n")
			So(texts, ShouldHaveLength, 4)
			So(texts[3], ShouldBeEmpty)

			var lines []line
			decoder := json.NewDecoder(&out)
			decoder.DisallowUnknownFields()
			for {
				var one line
				err := decoder.Decode(&one)
				if errors.Is(err, io.EOF) {
					break
				}
				So(err, ShouldBeNil)
				So(one.Time, ShouldBeGreaterThanOrEqualTo, before)
				So(one.Time, ShouldBeLessThanOrEqualTo, time.Now().UnixMilli())
				one.Time = 0
				lines = append(lines, one)
			}
			So(lines, ShouldResemble, []line{
				{Level: "info", Aggregator: "n1", Message: "connection ended", Text: "two\nlines \"quoted\" \ufffd", Lived: 0.25},
				{Level: "warn", Aggregator: "n1", Message: "http"},
				{Level: "debug", Aggregator: "n1", Message: "module"},
			})
		})
		Convey("writes times as whole milliseconds", func() {
			logger.Info("started")
			So(out.String(), ShouldContainSubstring, `"time":1`)
			So(out.String(), ShouldNotContainSubstring, ".")
		})
	})
}

// BenchmarkLogLine writes the most frequent line of an aggregator: the end of a client's connection.
func BenchmarkLogLine(b *testing.B) {
	out := NewWriter(io.Discard, 1024, func() {})
	defer out.Close()
	logger := New(out).With(zap.String("mixer", "n1"))
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("connection ended",
			zap.String("peer", "client"),
			zap.String("reason", "answered"),
			zap.String("address", "127.0.0.1:40000"),
			zap.Float64("lived_s", 0.125))
	}
}
