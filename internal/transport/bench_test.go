package transport_test

import (
	"context"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/transport"
)

// BenchmarkCall measures a call with the size of a heartbeat, including the callee's work.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(newTestMux(transport.NewIdentity(testCluster, "node-a")))
	defer server.Close()
	client := transport.NewClientFor(testCluster)
	defer client.Close()
	b.ReportAllocs()
	before := processCPUTime()
	for b.Loop() {
		if _, err := echoCall.Call(context.Background(), client, server.Listener.Addr().String(), sample); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processCPUTime()-before)/float64(b.N), "cpu-ns/op")
}

// processCPUTime returns the CPU time that the process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
