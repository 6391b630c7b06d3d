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

// childVar is the environment variable that tells a child process of this test binary its role and directory.
const childVar = "PUFFINLINK_KEEP_CHILD"

func TestMain(m *testing.M) {
	switch role, dir, _ := strings.Cut(os.Getenv(childVar), ":"); role {
	case "writer":
		runWriter(dir)
	case "full":
		fillDisk(dir)
	default:
		os.Exit(m.Run())
	}
}

// saveNow saves changes and waits for the result.
func saveNow(s *OverrideStore, changes ...override.Change) error {
	done := make(chan error, 1)
	s.Save(changes, func(err error) { done <- err })
	return <-done
}

// changeAt returns the n-th change of an endless history, which sets overrides and later clears some of them.
func changeAt(n uint64) override.Change {
	c := override.Change{Revision: override.Revision(n), Kind: override.SetByOperator, Author: "ann", Reason: strings.Repeat("r", int(n%150)),
		Override: override.Override{ID: override.Revision(n), Spec: override.Spec{Kind: override.OutOfService, Backend: fmt.Sprint("s-", n), ExpiresAt: 1e12}}}
	if n > 8 && n%2 == 0 {
		c.Kind, c.Override.ID = override.ClearedByOperator, override.Revision(n-8-n%4/2)
	}
	return c
}

// activeAfter returns the IDs of the overrides that are active after n changes.
func activeAfter(n uint64) map[override.Revision]bool {
	active := map[override.Revision]bool{}
	for i := uint64(1); i <= n; i++ {
		if c := changeAt(i); c.Kind == override.SetByOperator {
			active[c.Override.ID] = true
		} else {
			delete(active, c.Override.ID)
		}
	}
	return active
}

// runWriter continues the history from the stored revision, and prints each revision once it is saved.
func runWriter(dir string) {
	s, contents, err := OpenOverrides(dir, zap.NewNop())
	if err != nil {
		fmt.Println("failed", err)
		return
	}
	for n := uint64(contents.Revision) + 1; ; n++ {
		if err := saveNow(s, changeAt(n)); err != nil {
			fmt.Println("failed", err)
			return
		}
		fmt.Println(n)
	}
}

func startChild(t *testing.T, role, dir string) (*exec.Cmd, *bufio.Scanner) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childVar+"="+role+":"+dir)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, bufio.NewScanner(stdout)
}

// Kills a process at random moments during its writes. All acknowledged changes must be stored, and none may be stored
// partially.
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
				t.Fatalf("round %d: the writer printed %q", round, lines.Text())
			}
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond) // a random moment during the writes that follow
		cmd.Process.Kill()
		for lines.Scan() {
			fmt.Sscan(lines.Text(), &acknowledged)
		}
		cmd.Wait()
		s, contents, err := OpenOverrides(dir, zap.NewNop())
		if err != nil || contents.Quarantined != "" {
			t.Fatalf("round %d: %v, quarantined %q", round, err, contents.Quarantined)
		}
		s.Stop()
		if n := uint64(contents.Revision); n < acknowledged || n > acknowledged+1 {
			t.Fatalf("round %d: revision %d is saved, %d was acknowledged", round, n, acknowledged)
		}
		active := activeAfter(uint64(contents.Revision))
		for _, o := range contents.Active {
			if !active[o.ID] {
				t.Fatalf("round %d: override %d is active after revision %d", round, o.ID, contents.Revision)
			}
			delete(active, o.ID)
		}
		if len(active) > 0 {
			t.Fatalf("round %d: lost %v of revision %d", round, active, contents.Revision)
		}
		if last := len(contents.Recent) - 1; contents.Recent[last].Revision != contents.Revision {
			t.Fatalf("round %d: the audit trail ends with %d", round, contents.Recent[last].Revision)
		}
		acknowledged = max(acknowledged, uint64(contents.Revision))
	}
	t.Logf("killed %d times, %d revisions acknowledged", rounds, acknowledged)
}

// fillDisk writes until a limit on the file size makes a write fail, which simulates a full disk. Then it removes the limit
// and writes again.
func fillDisk(dir string) {
	signal.Ignore(syscall.SIGXFSZ)
	s, _, err := OpenOverrides(dir, zap.NewNop())
	fmt.Println("open", err)
	var originalLimit syscall.Rlimit
	syscall.Getrlimit(syscall.RLIMIT_FSIZE, &originalLimit)
	info, _ := os.Stat(filepath.Join(dir, overridesFileName))
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: uint64(info.Size()), Max: originalLimit.Max})
	n, refused := uint64(1), 0
	for ; refused == 0 && n < 100000; n++ {
		if saveNow(s, changeAt(n), changeAt(n+1000000), changeAt(n+2000001)) != nil {
			refused++
		}
	}
	fmt.Println("refused", refused)
	syscall.Setrlimit(syscall.RLIMIT_FSIZE, &originalLimit)
	fmt.Println("again", saveNow(s, changeAt(n-1)))
	s.Stop()
	_, contents, err := OpenOverrides(dir, zap.NewNop())
	fmt.Println("kept", err, contents.Quarantined == "", len(contents.Active) > 0)
}

// A full disk fails only the changes that are saved meanwhile. Earlier changes stay stored, and later changes can be saved.
func TestFullDiskRefusesChangesAndRecovers(t *testing.T) {
	cmd, lines := startChild(t, "full", t.TempDir())
	var output []string
	for lines.Scan() {
		output = append(output, lines.Text())
	}
	if err := cmd.Wait(); err != nil {
		t.Fatal(err, output)
	}
	if got := strings.Join(output, "; "); got != "open <nil>; refused 1; again <nil>; kept <nil> true true" {
		t.Fatalf("got %s", got)
	}
}

// filledStore creates a file with a history of changes.
func filledStore(t *testing.T) (dir string, revision uint64) {
	dir, revision = t.TempDir(), 400
	s, _, err := OpenOverrides(dir, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= revision; n += 8 {
		var batch []override.Change
		for i := range uint64(8) {
			batch = append(batch, changeAt(n+i))
		}
		if err := saveNow(s, batch...); err != nil {
			t.Fatal(err)
		}
	}
	s.Stop()
	return dir, revision
}

// A file that was damaged in any way is either read correctly, or renamed and replaced by a new one.
func TestCorruptFilesAreQuarantined(t *testing.T) {
	dir, revision := filledStore(t)
	intact, err := os.ReadFile(filepath.Join(dir, overridesFileName))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 1))
	quarantined, cases := 0, 120
	for i := range cases {
		data := bytes.Clone(intact)
		damage := ""
		switch i % 4 {
		case 0:
			at := rng.IntN(len(data))
			data[at] ^= 1 << rng.IntN(8)
			damage = fmt.Sprint("a bit flipped at ", at)
		case 1:
			data = data[:rng.IntN(len(data))]
			damage = fmt.Sprint("cut off at ", len(data))
		case 2:
			at := rng.IntN(len(data) / 4096)
			clear(data[at*4096 : at*4096+4096])
			damage = fmt.Sprint("page cleared: ", at)
		case 3:
			for range 50 {
				data[rng.IntN(len(data))] = byte(rng.Uint32())
			}
			damage = "fifty random bytes overwritten"
		}
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, overridesFileName), data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, contents, err := OpenOverrides(dir, zap.NewNop())
		if err != nil {
			t.Fatalf("%s: %v", damage, err)
		}
		switch want := activeAfter(revision); {
		case contents.Quarantined != "":
			quarantined++
			if saved, err := os.ReadFile(contents.Quarantined); err != nil || !bytes.Equal(saved, data) || len(contents.Active) > 0 {
				t.Fatalf("%s: quarantined as %d bytes, %v, %d active", damage, len(saved), err, len(contents.Active))
			}
		case len(data) == 0: // an empty file counts as a new one
		case uint64(contents.Revision) != revision && uint64(contents.Revision) != revision-8:
			t.Fatalf("%s: revision %d", damage, contents.Revision)
		case uint64(contents.Revision) == revision && len(contents.Active) != len(want):
			t.Fatalf("%s: %d active, expected %d", damage, len(contents.Active), len(want))
		}
		if err := saveNow(s, changeAt(uint64(contents.Revision)+1)); err != nil {
			t.Fatalf("%s: saving fails: %v", damage, err)
		}
		s.Stop()
	}
	if quarantined < cases/3 {
		t.Fatalf("only %d of %d damaged files were quarantined", quarantined, cases)
	}
	t.Logf("%d of %d quarantined", quarantined, cases)
}

func TestFileInUseIsRefused(t *testing.T) {
	dir := t.TempDir()
	first, _, err := OpenOverrides(dir, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	second, contents, err := openOverridesWithin(dir, 100*time.Millisecond, zap.NewNop())
	if err == nil || !strings.Contains(err.Error(), "another process") || contents.Quarantined != "" {
		t.Fatalf("got %v, %+v", err, contents)
	}
	if err := saveNow(second, changeAt(1)); err == nil {
		t.Fatal("a store without a file saved something")
	}
	second.Stop()
	if err := saveNow(first, changeAt(1)); err != nil {
		t.Fatal(err)
	}
	first.Stop()
}
