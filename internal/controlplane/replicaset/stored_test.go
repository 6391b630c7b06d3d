package replicaset

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	storedFolder              = "testdata/stored"
	updateEnvironmentVariable = "GOLDEN_UPDATE" // if set to 1, the test creates the stored data anew
	storedSelf                = "10.0.0.2:7000"
)

var (
	storedFounders  = []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	storedFirstView = View{Version: 1, Members: storedFounders}
	storedView      = View{
		Version: 4, Members: []string{"10.0.0.1:7000", "10.0.0.3:7000", "10.0.0.4:7000"},
		Zones:    map[string]string{"10.0.0.4:7000": "north"},
		Replaced: storedSelf, JoinedIncarnation: 0xfedcba9876543210,
	}
	// storedReplicaSet is the expected content of the table, byte for byte.
	storedReplicaSet = map[string][]byte{
		"founders": []byte("\x93\xad10.0.0.1:7000\xad10.0.0.2:7000\xad10.0.0.3:7000"),
		"absences": {0, 0, 0, 0, 0, 0, 0, 1},
		"view": []byte("\x85\xa1v\xcf\x00\x00\x00\x00\x00\x00\x00\x04" +
			"\xa1m\x93\xad10.0.0.1:7000\xad10.0.0.3:7000\xad10.0.0.4:7000" +
			"\xa1z\x81\xad10.0.0.4:7000\xa5north\xa1r\xad10.0.0.2:7000\xa1e\xcf\xfe\xdc\xba\x98\x76\x54\x32\x10"),
	}
)

func storedManager(store storage.Store) (*Manager, error) {
	return NewManager(Config{
		Self: storedSelf, Zone: "south", Seeds: storedFounders, FirstStart: true, CountsForQuorum: true,
		Store: store, Caller: networktest.New(1).Caller(storedSelf), Logger: zap.NewNop(),
	})
}

// writeStoredViews writes what a founder stores that is replaced later.
func writeStoredViews(store storage.Store) error {
	m, err := storedManager(store)
	if err != nil {
		return err
	}
	if err := m.Learn(storedFirstView); err != nil {
		return err
	}
	return m.Learn(storedView)
}

func openStored(t *testing.T, folder string) *storage.FileStore {
	store, _, err := storage.Open(storage.OSFileSystem{}, folder, storage.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func TestStoredViewOfEarlierBuildIsReadUnchanged(t *testing.T) {
	if os.Getenv(updateEnvironmentVariable) == "1" {
		os.RemoveAll(storedFolder)
		if err := writeStoredViews(openStored(t, storedFolder)); err != nil {
			t.Fatal(err)
		}
	}
	Convey("Given a view that was stored by an earlier build", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedFolder)), ShouldBeNil)
		store := openStored(t, folder)
		So(store.Snapshot(), ShouldResemble, storage.Tables{"replicaset": storedReplicaSet})

		Convey("a manager reads all of it and changes nothing", func() {
			m, err := storedManager(store)
			So(err, ShouldBeNil)
			So(m.View(), ShouldResemble, storedView)
			So(m.Founders(), ShouldResemble, storedFounders)
			So(m.Absences(), ShouldEqual, 1)
			So(store.Snapshot(), ShouldResemble, storage.Tables{"replicaset": storedReplicaSet})
		})
		Convey("this build writes the same bytes, so the earlier build can read them", func() {
			memory := storage.NewMemory()
			So(writeStoredViews(memory), ShouldBeNil)
			So(memory.Snapshot(), ShouldResemble, storage.Tables{"replicaset": storedReplicaSet})
		})
	})
}
