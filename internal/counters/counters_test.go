package counters

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// TestConcurrentAddsAreCountedAndLoggedInOrder guards against lost updates when goroutines increase and decrease counters concurrently,
// and checks that the log has all counters in one sorted line.
func TestConcurrentAddsAreCountedAndLoggedInOrder(t *testing.T) {
	s := New()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				s.Add("lookups", "taken", 1)
				s.Add("lookups", "held", 1)
				s.Add("lookups", "held", -1)
			}
			s.Add("calls", "sent", 1<<40)
		})
	}
	wg.Wait()
	if n := s.Get("lookups", "taken"); n != 8000 {
		t.Errorf("got %d accepted lookups, want 8000", n)
	}
	var out bytes.Buffer
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{LevelKey: "level", EncodeLevel: zapcore.LowercaseLevelEncoder, MessageKey: "message"})
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&out), zapcore.InfoLevel))
	log.Info("counters", zap.Inline(s))
	want := `{"level":"info","message":"counters","calls.sent":8796093022208,"lookups.held":0,"lookups.taken":8000}`
	if got := strings.TrimSpace(out.String()); got != want {
		t.Errorf("logged %s, want %s", got, want)
	}
	if n := s.Get("nobody", "knows"); n != 0 {
		t.Errorf("got %d for a counter that does not exist, want 0", n)
	}
}

func BenchmarkAdd(b *testing.B) {
	s := New()
	b.ReportAllocs()
	for b.Loop() {
		s.Add("calls", "sent", 1)
	}
}
