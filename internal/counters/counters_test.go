package counters

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestCountersAreLoggedAsOneSortedLine counts concurrently, up and down.
func TestCountersAddUp(t *testing.T) {
	s := New()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 1000 {
				s.Add("lookups", "taken", 1)
				s.Add("lookups", "held", 1)
				s.Add("lookups", "held", -1)
			}
			s.Add("calls", "sent", 1<<40)
		})
	}
	all.Wait()
	if n := s.Get("lookups", "taken"); n != 8000 {
		t.Errorf("%d taken, expected 8000", n)
	}
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{LevelKey: "level", EncodeLevel: zapcore.LowercaseLevelEncoder, MessageKey: "message"})
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zapcore.InfoLevel))
	log.Info("counters", zap.Inline(s))
	want := `{"level":"info","message":"counters","calls.sent":8796093022208,"lookups.held":0,"lookups.taken":8000}`
	if got := strings.TrimSpace(out.String()); got != want {
		t.Errorf("printed %s, expected %s", got, want)
	}
	if n := s.Get("nobody", "knows"); n != 0 {
		t.Errorf("%d for a counter that does not exist", n)
	}
}

func BenchmarkAdd(b *testing.B) {
	s := New()
	b.ReportAllocs()
	for b.Loop() {
		s.Add("calls", "sent", 1)
	}
}
