package asynclog

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// waitTimeout limits the wait for an event that normally follows at once.
const waitTimeout = 10 * time.Second

// blockedOutput is an output that blocks each write until the channel proceed is closed.
type blockedOutput struct {
	started chan struct{} // receives a value at the start of each write
	proceed chan struct{} // closed to let all writes proceed
	mu      sync.Mutex
	text    strings.Builder
}

func newBlockedOutput() *blockedOutput {
	return &blockedOutput{started: make(chan struct{}, 100), proceed: make(chan struct{})}
}

func (r *blockedOutput) Write(line []byte) (int, error) {
	r.started <- struct{}{}
	<-r.proceed
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(line)
}

func TestWriter(t *testing.T) {
	Convey("A writer with a buffer of 3 lines and a blocked output", t, func() {
		output := newBlockedOutput()
		var dropped atomic.Int64
		writer := NewWriter(output, 3, func() { dropped.Add(1) })
		writer.Write([]byte("0\n"))
		select {
		case <-output.started:
		case <-time.After(waitTimeout):
			t.Fatal("the first line was not written")
		}

		Convey("buffers 3 more lines, drops and counts the rest, and writes the buffered lines before it closes", func() {
			buffer := make([]byte, 0, 10)
			for i := 1; i <= 8; i++ {
				buffer = fmt.Appendf(buffer[:0], "%d\n", i) // the caller reuses its buffer
				n, err := writer.Write(buffer)
				So(n, ShouldEqual, len(buffer))
				So(err, ShouldBeNil)
			}
			So(dropped.Load(), ShouldEqual, 5)
			close(output.proceed)
			writer.Close()
			So(output.text.String(), ShouldEqual, "0\n1\n2\n3\n")
		})
		Convey("accepts lines after Close, and drops them once the buffer is full", func() {
			close(output.proceed)
			writer.Close()
			for range 5 {
				writer.Write([]byte("late\n"))
			}
			So(dropped.Load(), ShouldEqual, 2)
			So(output.text.String(), ShouldEqual, "0\n")
		})
	})
	Convey("Lines of many goroutines are not mixed, and each is written or counted as dropped", t, func() {
		const goroutines, each = 8, 200
		output := newBlockedOutput()
		output.started = make(chan struct{}, goroutines*each)
		close(output.proceed)
		var dropped atomic.Int64
		writer := NewWriter(output, 16, func() { dropped.Add(1) })
		var all sync.WaitGroup
		for g := range goroutines {
			all.Go(func() {
				text := []byte(strings.Repeat(string(rune('a'+g)), 50) + "\n")
				for range each {
					writer.Write(text)
				}
			})
		}
		all.Wait()
		writer.Close()
		lines := strings.Split(strings.TrimSuffix(output.text.String(), "\n"), "\n")
		So(int64(len(lines))+dropped.Load(), ShouldEqual, goroutines*each)
		for _, text := range lines {
			So(text, ShouldEqual, strings.Repeat(text[:1], 50))
		}
	})
}
