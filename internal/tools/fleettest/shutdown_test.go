package fleettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestShutdownAnswersOpenConnections guards against queries lost in a graceful shutdown. Clients continue to send on open connections
// after SIGTERM. Each query must be answered, and no connection may be closed while a query is in flight. The last answer on each
// connection must announce that the connection is closed.
func TestShutdownAnswersOpenConnections(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 1, NoFleet: true, WithoutFailpoints: true, ServiceTime: 5 * time.Millisecond})
	aggregator := c.Aggregators[0]
	var answered, announcedClose, answeredAfterSignal atomic.Int64
	var stopping atomic.Bool
	var connections sync.WaitGroup
	for i := range 24 {
		connections.Go(func() {
			connection, err := net.Dial("tcp", aggregator.ClientAddress)
			if err != nil {
				t.Error(err)
				return
			}
			defer connection.Close()
			reader := bufio.NewReader(connection)
			for n := 0; ; n++ {
				body := fmt.Sprintf(`{"targets":[{"partition":%d,"share":0.5},{"partition":%d,"share":0.5}],"query":"%s %d.%d"}`, n%6, (n+1)%6, OrdersTenant, i, n)
				_, writeErr := fmt.Fprintf(connection, "POST /orders HTTP/1.1\r\nHost: m\r\nReq-Id: %d.%d\r\nReq-Kind: orders\r\nReq-Owner: %s\r\nReq-Deadline: 2\r\nContent-Length: %d\r\n\r\n%s",
					i, n, OrdersTenant, len(body), body)
				sent := time.Now()
				res, readErr := http.ReadResponse(reader, nil)
				if writeErr != nil || readErr != nil {
					t.Errorf("connection %d, query %d, sent %s ago: no answer: write error %v, read error %v", i, n, time.Since(sent), writeErr, readErr)
					return
				}
				io.Copy(io.Discard, res.Body)
				res.Body.Close()
				answered.Add(1)
				if stopping.Load() {
					answeredAfterSignal.Add(1)
				}
				if res.Close || strings.EqualFold(res.Header.Get("Connection"), "close") {
					announcedClose.Add(1)
					return
				}
				time.Sleep(time.Duration(i%5) * 20 * time.Millisecond) // some clients send at once, others after a pause
			}
		})
	}
	c.Await("queries are answered", func() bool { return answered.Load() > 200 })
	stopping.Store(true)
	aggregator.Signal(syscall.SIGTERM)
	connections.Wait()
	c.Await("the process ends", aggregator.Ended)
	if t.Logf("%d queries answered after SIGTERM", answeredAfterSignal.Load()); answeredAfterSignal.Load() < 24 || announcedClose.Load() != 24 {
		t.Errorf("%d queries answered after SIGTERM, %d of 24 connections announced their close", answeredAfterSignal.Load(), announcedClose.Load())
	}
	c.CheckInvariants()
}
