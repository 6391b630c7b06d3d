package fleettest

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestQueryIsRetriedAfterIdleConnectionIsClosed guards against counting a query as lost if the client stalls between dialing and
// sending. The aggregator closes a new connection that stays idle. The test's client must then send the query on a second
// connection, so that the query runs once and is answered.
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
				t.Error("the aggregator sent data before the query")
			}
			connection.SetReadDeadline(time.Time{})
		}
		return connection, err
	}}}
	if status, text := c.Query(c.Aggregators[0], OrdersTenant, "orders", 0, 1); status != http.StatusOK {
		t.Errorf("got status %d, %s", status, text)
	}
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections, expected the idle one and one for the retry", n)
	}
	c.CheckInvariants()
}
