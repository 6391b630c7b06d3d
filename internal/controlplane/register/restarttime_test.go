package register

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/raceflag"
)

const (
	appliedBytes   = 45      // of an order that is remembered
	appliedMax     = 2000    // orders that are remembered
	bodyBytes      = 8 << 10 // of the configuration itself
	maxFileBytes   = 8 << 20 // of the file after any number of changes: the usual 4 MB, and what is written meanwhile
	maxRestartTime = 4 * time.Second
)

// unsyncedFileSystem is the machine's files without the wait for the disk; the process here only ends, and the power stays.
type unsyncedFileSystem struct{ storage.OSFileSystem }

type unsyncedFile struct{ storage.File }

// Sync implements storage.File.
func (unsyncedFile) Sync() error { return nil }

// Create implements storage.FileSystem.
func (u unsyncedFileSystem) Create(name string) (storage.File, error) {
	file, err := u.OSFileSystem.Create(name)
	return unsyncedFile{file}, err
}

// SyncDirectory implements storage.FileSystem.
func (unsyncedFileSystem) SyncDirectory(string) error { return nil }

// appliedHistory is what the orders of all changes amount to, one after the other.
var appliedHistory = randomText(bodyBytes+appliedBytes*(20_000+appliedMax), 7)

// stateAfter is as long as the configuration's state after a number of changes, and differs from the one before as that
// does: a new body, and one more order behind the others, of which the oldest goes.
func stateAfter(changes int) state {
	body := appliedHistory[changes : changes+bodyBytes]
	newest := appliedBytes * changes
	oldest := appliedBytes * max(0, changes-appliedMax)
	return state{Value: []byte(body + appliedHistory[oldest:newest]), Sequence: uint64(changes)}
}

// A member starts again as fast after 20,000 changes of the configuration as after 2,000: its file is rewritten all the time.
func TestRestartTimeAfterManyChanges(t *testing.T) {
	for _, changes := range []int{200, 2_000, 20_000} {
		if changes > 2_000 && (raceflag.On || testing.Short()) {
			continue
		}
		Convey("Given a member that has accepted many changes", t, func() {
			directory := t.TempDir()
			store, _, err := storage.Open(unsyncedFileSystem{}, directory, storage.Options{})
			So(err, ShouldBeNil)
			acceptor := func(store storage.Store) *Acceptor {
				return readyAcceptor(store, func() replicaset.View { return replicaset.View{Version: 1} })
			}
			before := acceptor(store)
			for number := 1; number <= changes; number++ {
				proposalNumber := ProposalNumber{Counter: uint64(number), Member: "a"}
				answer, err := before.accept(context.Background(), acceptRequest{ViewVersion: 1, ProposalNumber: proposalNumber, State: stateAfter(number)})
				if err != nil || answer.Outcome != granted {
					t.Fatal(answer, err)
				}
			}
			So(store.Close(), ShouldBeNil)
			file, err := os.Stat(filepath.Join(directory, "store.log"))
			So(err, ShouldBeNil)
			So(file.Size(), ShouldBeLessThan, maxFileBytes)

			began := time.Now()
			reopened, _, err := storage.Open(storage.OSFileSystem{}, directory, storage.Options{})
			took := time.Since(began)
			So(err, ShouldBeNil)
			defer reopened.Close()
			answer, err := acceptor(reopened).read(context.Background(), readRequest{ViewVersion: 1})
			So(err, ShouldBeNil)
			So(answer.State.Sequence, ShouldEqual, changes)
			So(took, ShouldBeLessThan, maxRestartTime)
			t.Logf("%d changes: a file of %d KB, open after %v", changes, file.Size()>>10, took)
		})
	}
}
