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
	commandBytes          = 45      // bytes per remembered command
	maxRememberedCommands = 2000    // maximum number of remembered commands
	configurationBytes    = 8 << 10 // size of the configuration in bytes
	maxFileBytes          = 8 << 20 // size of the store's file: usually 4 MB, plus what is written during a compaction
	maxRestartTime        = 4 * time.Second
)

// unsyncedFileSystem is the file system of the machine without syncs. The tests that use it simulate no power loss of the
// machine, so that the operating system keeps the written data.
type unsyncedFileSystem struct{ storage.OSFileSystem }

// unsyncedFile is a file whose Sync does nothing.
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

// commandText is the text from which stateAfter takes the configuration and the remembered commands.
var commandText = randomText(configurationBytes+commandBytes*(20_000+maxRememberedCommands), 7)

// stateAfter returns a state with the size of the configuration's state after a number of changes. Each change replaces the
// configuration and appends a command. From maxRememberedCommands on, it also removes the oldest command.
func stateAfter(changes int) state {
	body := commandText[changes : changes+configurationBytes]
	newest := commandBytes * changes
	oldest := commandBytes * max(0, changes-maxRememberedCommands)
	return state{Value: []byte(body + commandText[oldest:newest]), Sequence: uint64(changes)}
}

// The store compacts its file repeatedly. Therefore a member must restart as fast after 20,000 changes of the configuration as
// after 2,000.
func TestRestartTimeStaysBoundedAfterManyChanges(t *testing.T) {
	for _, changes := range []int{200, 2_000, 20_000} {
		if changes > 2_000 && (raceflag.Enabled || testing.Short()) {
			continue
		}
		Convey("Given a member that has accepted many changes", t, func() {
			directory := t.TempDir()
			store, _, err := storage.Open(unsyncedFileSystem{}, directory, storage.Options{})
			So(err, ShouldBeNil)
			acceptor := func(store storage.Store) *Acceptor {
				return readyAcceptor(store, func() replicaset.View { return replicaset.View{Version: 1} })
			}
			original := acceptor(store)
			for number := 1; number <= changes; number++ {
				proposalNumber := ProposalNumber{Counter: uint64(number), Member: "a"}
				answer, err := original.accept(context.Background(), acceptRequest{ViewVersion: 1, ProposalNumber: proposalNumber, State: stateAfter(number)})
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
			t.Logf("%d changes: file of %d KB opened in %v", changes, file.Size()>>10, took)
		})
	}
}
