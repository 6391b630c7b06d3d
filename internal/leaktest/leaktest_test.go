package leaktest

import (
	"os"
	"strings"
	"testing"
	"time"
)

// Leaked goroutines and descriptors are reported, and closed ones are not.
func TestLeaksAreFound(t *testing.T) {
	before := countDescriptors()
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() { <-stop; close(ended) }()
	if err := findLeaks(before, 50*time.Millisecond, nil); err == nil || !strings.Contains(err.Error(), "unexpected goroutines") {
		t.Errorf("got %v with a leaked goroutine", err)
	}
	close(stop)
	<-ended
	if err := findLeaks(before, 50*time.Millisecond, nil); before > 0 && (err == nil || !strings.Contains(err.Error(), "descriptors are open")) {
		t.Errorf("got %v with a leaked descriptor", err)
	}
	f.Close()
	if err := findLeaks(before, 50*time.Millisecond, nil); err != nil {
		t.Error(err)
	}
}
