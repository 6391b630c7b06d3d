package storage_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	storedDirectory = "testdata/stored"
	updateVariable  = "GOLDEN_UPDATE" // environment variable; the value 1 rewrites the stored data
)

// storedWrites are the writes of the stored data. The first three are in its snapshot records, the others in write records.
var storedWrites = [][]storage.Change{
	{
		{Table: "register/configuration", Key: "promised", Value: []byte{0x82, 0xa1}},
		{Table: "register/configuration", Key: "empty", Value: []byte{}},
		{Table: "group/jobs/render", Key: "j/1", Value: []byte("first")},
	},
	{{Table: "gone", Key: "a", Value: make([]byte, 1000)}, {Table: "gone", Key: "b", Value: []byte("b")}},
	{{Table: "gone", Key: "a"}}, // compacts the file, which is now far longer than the live data
	{{Table: "group/jobs/render", Key: "j/1", Value: []byte("second")}, {Table: "group/jobs/render", Key: "j/2", Value: []byte{0, 0xff}}},
	{{Table: "gone"}},
	{{Table: "register/configuration", Key: "promised"}, {Table: "register/configuration", Key: "accepted", Value: []byte("accepted")}},
}

// storedTables is the content of a store after storedWrites.
var storedTables = storage.Tables{
	"register/configuration": {"empty": {}, "accepted": []byte("accepted")},
	"group/jobs/render":      {"j/1": []byte("second"), "j/2": {0, 0xff}},
}

func writeStoredData(t *testing.T) {
	os.RemoveAll(storedDirectory)
	for _, writes := range [][][]storage.Change{storedWrites[:3], storedWrites[3:]} {
		store, _, err := storage.Open(storage.OSFileSystem{}, storedDirectory, storage.Options{CompactAbove: 1, SizeLimit: 1 << 20})
		if err != nil {
			t.Fatal(err)
		}
		for _, changes := range writes {
			if err := store.Write(changes...); err != nil {
				t.Fatal(err)
			}
		}
		if err := store.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

func TestOpenReadsFileOfEarlierBuild(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		writeStoredData(t)
	}
	Convey("Given a file written by an earlier build", t, func() {
		copiedDirectory := t.TempDir()
		So(os.CopyFS(copiedDirectory, os.DirFS(storedDirectory)), ShouldBeNil)
		before, err := os.ReadFile(filepath.Join(copiedDirectory, "store.log"))
		So(err, ShouldBeNil)
		store, opened, err := storage.Open(storage.OSFileSystem{}, copiedDirectory, storage.Options{})
		So(err, ShouldBeNil)
		defer store.Close()

		Convey("Open reads all of it without truncating or writing anything", func() {
			So(opened, ShouldResemble, storage.OpenResult{})
			So(store.Snapshot(), ShouldResemble, storedTables)
			after, err := os.ReadFile(filepath.Join(copiedDirectory, "store.log"))
			So(err, ShouldBeNil)
			So(after, ShouldResemble, before)
		})
		Convey("it contains records of all kinds", func() {
			for _, kind := range []string{"\xf5RC\x0aS", "\xf5RC\x0aE", "\xf5RC\x0aW"} {
				So(string(before), ShouldContainSubstring, kind)
			}
			So(string(before[:8]), ShouldEqual, "PLSTORE1")
		})
	})
}
