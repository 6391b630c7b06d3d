package transport_test

import (
	"context"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/transport"
)

// BenchmarkCall is one call of the size of a heartbeat and its answer, both sides together.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(handlers(transport.NewIdentity(testCluster, "node-a")))
	defer server.Close()
	client := transport.NewClientFor(testCluster)
	defer client.Close()
	b.ReportAllocs()
	before := processorTime()
	for b.Loop() {
		if _, err := echoCall.Call(context.Background(), client, server.Listener.Addr().String(), sample); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

// processorTime is what the whole process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
