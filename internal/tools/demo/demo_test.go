package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"
)

func TestDemoEndsWithASummary(t *testing.T) {
	var out bytes.Buffer
	sum, err := Run(context.Background(), Options{For: 2 * time.Second, Aggregators: 2, Backends: 4, QueriesPerSecond: 50, Service: time.Millisecond,
		Every: 500 * time.Millisecond, Out: &out, Directory: t.TempDir()})
	if err != nil || sum.Requested == 0 || sum.Requested != sum.Satisfied+sum.Nacked+sum.Aborted || len(sum.PartCalls) != 4 {
		t.Fatalf("got %+v, %v", sum, err)
	}
	if text := out.String(); !strings.Contains(text, "override set weight") || !strings.Contains(text, "SEARCHER") {
		t.Fatalf("shown: %s", text)
	}
	if _, err := Run(context.Background(), Options{Aggregators: 1, Backends: 1, QueriesPerSecond: 1, Service: 1}); err == nil {
		t.Fatal("one searcher is no deployment")
	}
}
