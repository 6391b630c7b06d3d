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

// patience bounds the wait for what happens at once unless it is lost.
const patience = 10 * time.Second

// slowReader is a standard output whose reader takes a line only when it is told to.
type slowReader struct {
	begun   chan struct{} // one for each line that is being written
	proceed chan struct{} // closed once all lines may go
	mu      sync.Mutex
	text    strings.Builder
}

func newSlowReader() *slowReader {
	return &slowReader{begun: make(chan struct{}, 100), proceed: make(chan struct{})}
}

func (r *slowReader) Write(line []byte) (int, error) {
	r.begun <- struct{}{}
	<-r.proceed
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(line)
}

func TestWriter(t *testing.T) {
	Convey("A writer of 3 waiting lines whose reader stands still", t, func() {
		reader := newSlowReader()
		var dropped atomic.Int64
		writer := NewWriter(reader, 3, func() { dropped.Add(1) })
		writer.Write([]byte("0\n"))
		select {
		case <-reader.begun:
		case <-time.After(patience):
			t.Fatal("the first line was not written")
		}

		Convey("takes 3 more, drops the rest and counts them, and writes what it took before it closes", func() {
			buffer := make([]byte, 0, 10)
			for i := 1; i <= 8; i++ {
				buffer = fmt.Appendf(buffer[:0], "%d\n", i) // the caller uses its buffer again
				n, err := writer.Write(buffer)
				So(n, ShouldEqual, len(buffer))
				So(err, ShouldBeNil)
			}
			So(dropped.Load(), ShouldEqual, 5)
			close(reader.proceed)
			writer.Close()
			So(reader.text.String(), ShouldEqual, "0\n1\n2\n3\n")
		})
		Convey("lets lines come after its end, which are dropped once there is no room", func() {
			close(reader.proceed)
			writer.Close()
			for range 5 {
				writer.Write([]byte("late\n"))
			}
			So(dropped.Load(), ShouldEqual, 2)
			So(reader.text.String(), ShouldEqual, "0\n")
		})
	})
	Convey("Lines of many goroutines stay whole, and each is written or counted", t, func() {
		const goroutines, each = 8, 200
		reader := newSlowReader()
		reader.begun = make(chan struct{}, goroutines*each)
		close(reader.proceed)
		var dropped atomic.Int64
		writer := NewWriter(reader, 16, func() { dropped.Add(1) })
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
		lines := strings.Split(strings.TrimSuffix(reader.text.String(), "\n"), "\n")
		So(int64(len(lines))+dropped.Load(), ShouldEqual, goroutines*each)
		for _, text := range lines {
			So(text, ShouldEqual, strings.Repeat(text[:1], 50))
		}
	})
}
