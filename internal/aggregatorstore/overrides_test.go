package aggregatorstore

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/override"
)

// A test that starts this binary as its child names the child's part in this variable.
const childVar = "PUFFINLINK_KEEP_CHILD"

func TestMain(m *testing.M) {
	switch role, dir, _ := strings.Cut(os.Getenv(childVar), ":"); role {
	case "writer":
		writer(dir)
	case "full":
		fillDisk(dir)
	default:
		os.Exit(m.Run())
	}
}

// saveNow saves changes and waits.
func saveNow(s *OverrideStore, changes ...override.Change) error {
	done := make(chan error, 1)
	s.Save(changes, func(err error) { done <- err })
	return <-done
}

// change is the n-th of an endless history: each override is set, and cleared eight changes later.
func change(n uint64) override.Change {
	c := override.Change{Revision: override.Revision(n), Kind: override.SetByOperator, Author: "ann", Reason: strings.Repeat("r", int(n%150)),
		Override: override.Override{ID: override.Revision(n), Spec: override.Spec{Kind: override.OutOfService, Backend: fmt.Sprint("s-", n), ExpiresAt: 1e12}}}
	if n > 8 && n%2 == 0 {
		c.Kind, c.Override.ID = override.ClearedByOperator, override.Revision(n-8-n%4/2)
	}
	return c
}

// activeAfter is which overrides are active after n changes.
func activeAfter(n uint64) map[override.Revision]bool {
	list := map[override.Revision]bool{}
	for i := uint64(1); i <= n; i++ {
		if c := change(i); c.Kind == override.SetByOperator {
			list[c.Override.ID] = true
		} else {
			delete(list, c.Override.ID)
		}
	}
	return list
}

// writer goes on where the file ends, and prints each revision once it is saved.
func writer(dir string) {
	s, kept, err := OpenOverrides(dir, zap.NewNop())
	if err != nil {
		fmt.Println("failed", err)
		return
	}
	for n := uint64(kept.Revision) + 1; ; n++ {
		if err := saveNow(s, change(n)); err != nil {
			fmt.Println("failed", err)
			return
		}
		fmt.Println(n)
	}
}

func startChild(t *testing.T, role, dir string) (*exec.Cmd, *bufio.Scanner) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVar+"="+role+":"+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, bufio.NewScanner(out)
}

// A process that is killed at any moment of a write loses nothing that it acknowledged, and saves nothing in part.
func TestCommittedChangesSurviveAKill(t *testing.T) {
	dir, rng := t.TempDir(), rand.New(rand.NewPCG(3, 9))
	rounds, acknowledged := 120, uint64(0)
	if testing.Short() {
		rounds = 20
	}
	for round := range rounds {
		cmd, lines := startChild(t, "writer", dir)
		reported := 1 + rng.IntN(5)
		for range reported {
			if !lines.Scan() {
				break
			}
			if _, err := fmt.Sscan(lines.Text(), &acknowledged); err != nil {
				t.Fatalf("round %d: the writer says %q", round, lines.Text())
			}
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond) // anywhere in the writes that follow
		cmd.Process.Kill()
		for lines.Scan() {
			fmt.Sscan(lines.Text(), &acknowledged)
		}
		cmd.Wait()
		s, kept, err := OpenOverrides(dir, zap.NewNop())
		if err != nil || kept.Quarantined != "" {
			t.Fatalf("round %d: %v, quarantined %q", round, err, kept.Quarantined)
		}
		s.Stop()
		if n := uint64(kept.Revision); n < acknowledged || n > acknowledged+1 {
			t.Fatalf("round %d: revision %d is saved, %d was acknowledged", round, n, acknowledged)
		}
		active := activeAfter(uint64(kept.Revision))
		for _, o := range kept.Active {
			if !active[o.ID] {
				t.Fatalf("round %d: override %d is active after revision %d", round, o.ID, kept.Revision)
			}
			delete(active, o.ID)
		}
		if len(active) > 0 {
			t.Fatalf("round %d: lost %v of revision %d", round, active, kept.Revision)
		}
		if last := len(kept.Recent) - 1; kept.Recent[last].Revision != kept.Revision {
			t.Fatalf("round %d: the audit trail ends with %d", round, kept.Recent[last].Revision)
		}
		acknowledged = max(acknowledged, uint64(kept.Revision))
	}
	t.Logf("killed %d times, %d revisions acknowledged", rounds, acknowledged)
}

// fillDisk writes under a limit on the size of files, which is what a full disk looks like without one, and then without it.
func fillDisk(dir string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, _, err := OpenOverrides(dir, zap.NewNop())
	fmt.Println("open", err)
	var was syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_FSIZE, &was)
	info, _ := os.Stat(filepath.Join(dir, overridesFileName))
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(info.Size()), Max: was.Max})
	n, refused := uint64(1), 0
	for ; refused == 0 && n < 100000; n++ {
		if saveNow(s, change(n), change(n+1000000), change(n+2000001)) != nil {
			refused++
		}
	}
	fmt.Println("refused", refused)
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &was)
	fmt.Println("again", saveNow(s, change(n-1)))
	s.Stop()
	_, kept, err := OpenOverrides(dir, zap.NewNop())
	fmt.Println("kept", err, kept.Quarantined == "", len(kept.Active) > 0)
}

// A full disk fails a change, and nothing else: what was saved stays, and later changes are saved again.
func TestFullDiskRefusesChangesAndRecovers(t *testing.T) {
	cmd, lines := startChild(t, "full", t.TempDir())
	var said []string
	for lines.Scan() {
		said = append(said, lines.Text())
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err, said)
	}
	if got := strings.Join(said, "; "); got != "open <nil>; refused 1; again <nil>; kept <nil> true true" {
		t.Fatalf("got %s", got)
	}
}

// filledStore makes a file with some history.
func filledStore(t *testing.T) (dir string, revision uint64) {
	dir, revision = t.TempDir(), 400
	s, _, err := OpenOverrides(dir, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= revision; n += 8 {
		var some []override.Change
		for i := range uint64(8) {
			some = append(some, change(n+i))
		}
		if err := saveNow(s, some...); err != nil {
			t.Fatal(err)
		}
	}
	s.Stop()
	return dir, revision
}

// Whatever is done to a file, it is read correctly or renamed, and a new one made.
func TestCorruptFilesAreQuarantined(t *testing.T) {
	dir, revision := filledStore(t)
	good, err := os.ReadFile(filepath.Join(dir, overridesFileName))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 1))
	quarantined, cases := 0, 120
	for i := range cases {
		text := bytes.Clone(good)
		what := ""
		switch i % 4 {
		case 0:
			at := rng.IntN(len(text))
			text[at] ^= 1 << rng.IntN(8)
			what = fmt.Sprint("a bit flipped at ", at)
		case 1:
			text = text[:rng.IntN(len(text))]
			what = fmt.Sprint("cut off at ", len(text))
		case 2:
			at := rng.IntN(len(text) / 4096)
			clear(text[at*4096 : at*4096+4096])
			what = fmt.Sprint("page cleared: ", at)
		case 3:
			for range 50 {
				text[rng.IntN(len(text))] = byte(rng.Uint32())
			}
			what = "fifty bytes spoilt"
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, overridesFileName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, contents, err := OpenOverrides(dir, zap.NewNop())
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		switch want := activeAfter(revision); {
		case contents.Quarantined != "":
			quarantined++
			if saved, err := os.ReadFile(contents.Quarantined); err != nil || !bytes.Equal(saved, text) || len(contents.Active) > 0 {
				t.Fatalf("%s: quarantined as %d bytes, %v, %d active", what, len(saved), err, len(contents.Active))
			}
		case len(text) == 0: // as good as none
		case uint64(contents.Revision) != revision && uint64(contents.Revision) != revision-8:
			t.Fatalf("%s: revision %d", what, contents.Revision)
		case uint64(contents.Revision) == revision && len(contents.Active) != len(want):
			t.Fatalf("%s: %d active, expected %d", what, len(contents.Active), len(want))
		}
		if err := saveNow(s, change(uint64(contents.Revision)+1)); err != nil {
			t.Fatalf("%s: nothing is saved any more: %v", what, err)
		}
		s.Stop()
	}
	if quarantined < cases/3 {
		t.Fatalf("only %d of %d corrupt files were found", quarantined, cases)
	}
	t.Logf("%d of %d quarantined", quarantined, cases)
}

func TestFileInUseIsRefused(t *testing.T) {
	dir := t.TempDir()
	first, _, err := OpenOverrides(dir, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	second, kept, err := openOverridesWithin(dir, 100*time.Millisecond, zap.NewNop())
	if err == nil || !strings.Contains(err.Error(), "another process") || kept.Quarantined != "" {
		t.Fatalf("got %v, %+v", err, kept)
	}
	if err := saveNow(second, change(1)); err == nil {
		t.Fatal("a store without a file saved something")
	}
	second.Stop()
	if err := saveNow(first, change(1)); err != nil {
		t.Fatal(err)
	}
	first.Stop()
}
