package fleettest

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A client that pauses between dialling and sending finds its connection closed, as an aggregator closes connections that stay idle.
// It retries and gets its answer, and nothing counts as lost; the aggregator received the query once.
func TestQueryIsRetriedAfterIdleConnectionIsClosed(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 1, NoFleet: true, WithoutFailpoints: true})
	var dials atomic.Int64
	c.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil && dials.Add(1) == 1 {
			var buffer [1]byte
			connection.SetReadDeadline(time.Now().Add(Timeout))
			if n, err := connection.Read(buffer[:]); n > 0 || err == nil {
				t.Error("the aggregator spoke first")
			}
			connection.SetReadDeadline(time.Time{})
		}
		return connection, err
	}}}
	if status, text := c.Query(c.Aggregators[0], OrdersTenant, "orders", 0, 1); status != http.StatusOK {
		t.Errorf("got %d %s", status, text)
	}
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections, expected the silent one and another", n)
	}
	c.CheckInvariants()
}
