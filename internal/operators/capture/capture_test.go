package capture

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/policy"
)

var names = Names{Indexes: []string{"reads", "orders"}, Customers: []string{"acme"}, SoftDeadlines: []float64{1, 1}, Shards: 8}

// recordRandomLoad returns the intervals of a recorder for a random load, and the total numbers of queries, parts and calls
// that the recorder was told of.
func recordRandomLoad(aggregator string, seed uint64, seconds float64) (list []Interval, queries, parts, calls int64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	rec := New(aggregator, names, 1)
	for s := range 4 {
		rec.BackendAdded(policy.BackendID(s+1), fmt.Sprint("s-", s), "north")
	}
	type call struct {
		s     *BackendCalls
		alone bool
	}
	var open []call
	for now := 1000.0; now < 1000+seconds; now += 0.01 {
		if rec.Due(now) {
			list = append(list, rec.EndInterval(now))
		}
		k, n := policy.IndexID(rng.IntN(2)), 1+rng.IntN(3)
		rec.QueryStarted(now, k, policy.CustomerID(rng.IntN(2)), rng.IntN(9) == 0, 0.01*float64(n), func(yield func(policy.ShardID) bool) {
			for s := range n {
				yield(policy.ShardID(s))
			}
		})
		queries, parts = queries+1, parts+int64(n)
		rec.QueryEnded(now, k, 0, End(rng.IntN(4)), 2*rng.Float64())
		s := policy.BackendID(1 + rng.IntN(4))
		backend, alone := rec.CallSent(now, s)
		open = append(open, call{backend, alone})
		if len(open) > 5 {
			rec.CallEnded(now, open[0].s, CallEnd{Index: k, Outcome: policy.Outcome(rng.IntN(8)), Elapsed: 0.02, Alone: open[0].alone})
			open, calls = open[1:], calls+1
		}
	}
	return append(list, rec.EndInterval(1000+seconds)), queries, parts, calls
}

// totals sums the counts of intervals.
func totals(list []Interval) (queries, parts, calls, ends int64) {
	for _, i := range list {
		for _, l := range i.Loads {
			queries, parts = queries+l.Queries, parts+l.Parts
			e := l.Ends
			ends += e.Satisfied + e.Late + e.Rejected + e.Aborted + e.Disconnected
		}
		for _, s := range i.Backends {
			calls += s.Calls
		}
	}
	return queries, parts, calls, ends
}

func TestRecorderCountsEachEventOnce(t *testing.T) {
	list, queries, parts, calls := recordRandomLoad("n1", 1, 10)
	gotQueries, gotParts, gotCalls, ends := totals(list)
	if gotQueries != queries || gotParts != parts || gotCalls != calls || ends != queries {
		t.Fatalf("got %d queries, %d parts, %d calls, %d ends; expected %d, %d, %d, %d", gotQueries, gotParts, gotCalls, ends, queries, parts, calls, queries)
	}
	if n := len(list); n < 10 || n > 11 {
		t.Fatalf("got %d intervals in 10 s, expected 10 or 11", n)
	}
	recorder := *New("n1", names, 1)
	recorder.Due(0)
	recorder.QueryStarted(0, 0, 0, false, 0, func(func(policy.ShardID) bool) {})
	recorder.QueryEnded(0.5, 0, 0, Answered, 0.5)
	if got := recorder.EndInterval(1).InFlight; math.Abs(got.Mean-0.5) > 1e-9 || got.Peak != 1 {
		t.Fatalf("queries in flight: got %+v, expected a mean of 0.5 and a peak of 1", got)
	}
}

// encode returns a capture file of the intervals.
func encode(t *testing.T, list []Interval) []byte {
	var out bytes.Buffer
	if err := (Capture{list}).write(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// decode returns the intervals that Read reads before an error.
func decode(text []byte) (list []Interval, err error) {
	err = Read(bytes.NewReader(text), func(i *Interval) error { list = append(list, *i); return nil })
	return list, err
}

// A capture that is truncated anywhere, or has a corrupted bit, must be read up to the damage with an error. No damaged
// interval may be returned.
func TestDamagedCaptureIsReadUpToTheDamage(t *testing.T) {
	list, _, _, _ := recordRandomLoad("n1", 2, 4)
	text := encode(t, list)
	whole, err := decode(text)
	if err != nil || len(whole) != len(list) {
		t.Fatalf("read %d of %d intervals, %v", len(whole), len(list), err)
	}
	if again := encode(t, whole); !bytes.Equal(again, text) {
		t.Fatal("encoding the intervals that were read gives another file")
	}
	ends := map[int]bool{}
	at := len(fileHeader)
	for i := range list {
		ends[at] = true
		block, _ := AppendBlock(nil, &list[i])
		at += len(block)
	}
	ends[at] = true
	for n := range len(text) {
		got, err := decode(text[:n])
		truncated := (*TruncatedError)(nil)
		if isTruncated := errors.As(err, &truncated); isTruncated == ends[n] || isTruncated && truncated.Blocks != len(got) || len(got) > len(list) {
			t.Fatalf("truncated at byte %d: got %d intervals, %v", n, len(got), err)
		}
	}
	rng := rand.New(rand.NewPCG(4, 4))
	for range 300 {
		corrupted := bytes.Clone(text)
		corrupted[rng.IntN(len(corrupted))] ^= 1 << rng.IntN(8)
		got, err := decode(corrupted)
		if err == nil || !reflect.DeepEqual(encode(t, got), text[:len(encode(t, got))]) {
			t.Fatalf("got %d intervals of a corrupted capture, %v", len(got), err)
		}
	}
	for in, want := range map[string]string{"x": "is no capture", "puffinlink capture 2\n": "of another version", "": "in its head"} {
		if _, err := decode([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", in, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(fileHeader))
	f.Add([]byte(fileHeader + "\x00\x00\x00\x01aaaaaaaab"))
	f.Fuzz(func(_ *testing.T, in []byte) { decode(in) })
}

func TestMergedCaptureKeepsTotals(t *testing.T) {
	one, l1, p1, c1 := recordRandomLoad("n1", 5, 6)
	two, l2, p2, c2 := recordRandomLoad("n2", 6, 6)
	both, err := Merge(2, Capture{one}, Capture{two})
	if err != nil {
		t.Fatal(err)
	}
	if l, p, c, _ := totals(both.Intervals); l != l1+l2 || p != p1+p2 || c != c1+c2 {
		t.Fatalf("merged capture: got %d queries, %d parts, %d calls, expected %d, %d, %d", l, p, c, l1+l2, p1+p2, c1+c2)
	}
	if len(both.Intervals) < 3 || len(both.Intervals) > 4 || len(both.Intervals[0].Aggregators) != 2 {
		t.Fatalf("merged capture: got %d intervals of aggregators %v", len(both.Intervals), both.Intervals[0].Aggregators)
	}
	sum := both.Sum()
	if l, p, _, _ := totals([]Interval{sum}); l != l1+l2 || p != p1+p2 {
		t.Fatalf("Sum: got %d queries, %d parts", l, p)
	}
	if _, err := Merge(2, Capture{one}, Capture{one}); err == nil || !strings.Contains(err.Error(), "given twice") {
		t.Fatalf("got %v", err)
	}
	part, err := Capture{one}.Between(1002, 1004)
	if err != nil || len(part.Intervals) != 2 {
		t.Fatalf("Between: got %d intervals, %v, expected 2", len(part.Intervals), err)
	}
	if _, err := (Capture{one}).Between(1, 2); err == nil {
		t.Fatal("Between returned no error for a period without intervals")
	}
	if gaps := (Capture{append(one[:2:2], one[4:]...)}).Gaps(); len(gaps) != 1 || math.Abs(gaps[0].To-gaps[0].From-2) > 0.1 {
		t.Fatalf("got %v", gaps)
	}
}

func TestSyntheticLoadHasTheGivenRateAndPopularity(t *testing.T) {
	s := SyntheticLoad{Duration: 86400, Span: 60, QueriesPerSecond: 10, Shards: 20, Skew: 0.8, DayFactors: []float64{0.5, 1.5}, Seed: 3,
		Indexes: []SyntheticIndex{{"reads", "acme", 0.8, 4, 0.01}, {"orders", "acme", 0.2, 1, 0.02}}, Bursts: []Burst{{3600, 600, 3}}}
	var c Capture
	if err := s.Generate(func(i *Interval) error { c.Intervals = append(c.Intervals, *i); return nil }); err != nil {
		t.Fatal(err)
	}
	queries, parts, _, _ := totals(c.Intervals)
	want := 86400 * 10.0
	want += 2 * 600 * 10 * (0.5 + 3900.0/43200) // the burst, while the daily factor rises
	if got := float64(queries); math.Abs(got-want) > 0.01*want || math.Abs(float64(parts)-3.4*got) > 0.02*3.4*got {
		t.Fatalf("got %d queries with %d parts, expected about %.0f queries", queries, parts, want)
	}
	sum := c.Sum()
	by := map[int]int64{}
	for _, x := range sum.Shards {
		by[x.Shard] += x.Parts
	}
	popular := Popularity(20, 0.8)
	for shard, share := range popular {
		if got := float64(by[shard]) / float64(parts); math.Abs(got-share) > 0.02*share {
			t.Fatalf("shard %d has a share of %.4f, expected %.4f", shard, got, share)
		}
	}
	s.Indexes[0].Share = 0.9
	if err := s.Generate(nil); err == nil || !strings.Contains(err.Error(), "sum to 1.1") {
		t.Fatalf("got %v", err)
	}
}

func TestWriterKeepsFilesWithinMaxBytes(t *testing.T) {
	dir := t.TempDir()
	count := counters.New()
	w, err := NewWriter(StoreConfig{dir, 64 << 10, time.Hour}, zap.NewNop(), count)
	if err != nil {
		t.Fatal(err)
	}
	one, _, _, _ := recordRandomLoad("n1", 7, 1)
	for n := range 400 {
		i := one[0]
		i.At = 1000 + float64(n)
		for count.Get("capture", "written")+count.Get("capture", "dropped")+maxPending/2 < int64(n) {
			time.Sleep(time.Millisecond)
		}
		w.Put(i)
	}
	w.Stop()
	files, _ := listFiles(dir)
	size := int64(0)
	for _, f := range files {
		size += f.size
	}
	if size > 64<<10 || count.Get("capture", "removed") == 0 || count.Get("capture", "written") != 400 {
		t.Fatalf("%d bytes in %d files, %d removed, %d written", size, len(files), count.Get("capture", "removed"), count.Get("capture", "written"))
	}
	last := files[len(files)-1].path
	text, _ := os.ReadFile(last)
	os.WriteFile(last, text[:len(text)-3], 0o600)
	c, truncations, err := Open(dir)
	if err != nil || len(truncations) != 1 || len(c.Intervals) == 0 {
		t.Fatalf("%d intervals, %v, %v", len(c.Intervals), truncations, err)
	}
	if got := c.Intervals[len(c.Intervals)-1].At; got != 1398 {
		t.Fatalf("the last complete interval begins at %g, expected 1398", got)
	}
	at := filepath.Join(dir, "all"+fileSuffix)
	if err := Save(at, c); err != nil {
		t.Fatal(err)
	}
	if again, truncations, err := Open(at); err != nil || len(truncations) > 0 || len(again.Intervals) != len(c.Intervals) {
		t.Fatalf("saved capture: read %d of %d intervals, %v, %v", len(again.Intervals), len(c.Intervals), truncations, err)
	}
	if _, _, err := Open(t.TempDir()); err == nil {
		t.Fatal("opening an empty directory returned no error")
	}
}

// Closing a full file fails, so intervals may be missing from it. write must return the error, and must still write its
// interval to the next file.
func TestFailedCloseIsReported(t *testing.T) {
	w := &Writer{config: StoreConfig{t.TempDir(), 1 << 20, time.Hour}, counters: counters.New()}
	list, _, _, _ := recordRandomLoad("n1", 7, 2)
	first, second := list[0], list[0]
	first.At, second.At = 1000, 1001
	if err := w.write(&first); err != nil {
		t.Fatal(err)
	}
	if err := w.file.Close(); err != nil {
		t.Fatal(err)
	}
	w.size = w.config.MaxBytes
	if err := w.write(&second); !errors.Is(err, os.ErrClosed) {
		t.Fatalf("got %v", err)
	}
	if err := w.closeFile(); err != nil {
		t.Fatal(err)
	}
	if c, _, err := Open(w.config.Directory); err != nil || len(c.Intervals) != 2 {
		t.Fatalf("got %d intervals, %v", len(c.Intervals), err)
	}
}
