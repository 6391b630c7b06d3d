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
	summary, err := Run(context.Background(), Options{Duration: 2 * time.Second, Aggregators: 2, Backends: 4, QueriesPerSecond: 50, ServiceTime: time.Millisecond,
		TableInterval: 500 * time.Millisecond, Out: &out, OverrideDirectory: t.TempDir()})
	if err != nil || summary.Queries == 0 || summary.Queries != summary.Satisfied+summary.Nacked+summary.Aborted || len(summary.PartCalls) != 4 {
		t.Fatalf("got %+v, %v", summary, err)
	}
	if text := out.String(); !strings.Contains(text, "override set weight") || !strings.Contains(text, "SEARCHER") {
		t.Fatalf("the output lacks the introduction or the table: %s", text)
	}
	if _, err := Run(context.Background(), Options{Aggregators: 1, Backends: 1, QueriesPerSecond: 1, ServiceTime: 1}); err == nil {
		t.Fatal("a deployment with a single backend is accepted")
	}
}
