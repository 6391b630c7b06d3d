package storage_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

const (
	storedFolder   = "testdata/stored"
	updateVariable = "GOLDEN_UPDATE" // set to 1, the stored data is made anew
)

// storedWrites are the writes of the stored data: the first ones are in its snapshot records, the others in write records.
var storedWrites = [][]storage.Change{
	{
		{Table: "register/configuration", Key: "promised", Value: []byte{0x82, 0xa1}},
		{Table: "register/configuration", Key: "empty", Value: []byte{}},
		{Table: "group/jobs/render", Key: "j/1", Value: []byte("first")},
	},
	{{Table: "gone", Key: "a", Value: make([]byte, 1000)}, {Table: "gone", Key: "b", Value: []byte("b")}},
	{{Table: "gone", Key: "a"}}, // the file is far longer than what it holds from here on: it is compacted
	{{Table: "group/jobs/render", Key: "j/1", Value: []byte("second")}, {Table: "group/jobs/render", Key: "j/2", Value: []byte{0, 0xff}}},
	{{Table: "gone"}},
	{{Table: "register/configuration", Key: "promised"}, {Table: "register/configuration", Key: "accepted", Value: []byte("accepted")}},
}

// storedTables are what the writes leave.
var storedTables = storage.Tables{
	"register/configuration": {"empty": {}, "accepted": []byte("accepted")},
	"group/jobs/render":      {"j/1": []byte("second"), "j/2": {0, 0xff}},
}

func makeStoredTables(t *testing.T) {
	os.RemoveAll(storedFolder)
	for _, writes := range [][][]storage.Change{storedWrites[:3], storedWrites[3:]} {
		store, _, err := storage.Open(storage.OperatingSystem{}, storedFolder, storage.Options{CompactAbove: 1, SizeLimit: 1 << 20})
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

func TestReadsStoredDataOfTheFile(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		makeStoredTables(t)
	}
	Convey("Given a file that an earlier build wrote", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedFolder)), ShouldBeNil)
		before, err := os.ReadFile(filepath.Join(folder, "store.log"))
		So(err, ShouldBeNil)
		store, opened, err := storage.Open(storage.OperatingSystem{}, folder, storage.Options{})
		So(err, ShouldBeNil)
		defer store.Close()

		Convey("all of it is read, and nothing is truncated or written", func() {
			So(opened, ShouldResemble, storage.OpenResult{})
			So(store.Snapshot(), ShouldResemble, storedTables)
			after, err := os.ReadFile(filepath.Join(folder, "store.log"))
			So(err, ShouldBeNil)
			So(after, ShouldResemble, before)
		})
		Convey("it has records of all kinds", func() {
			for _, kind := range []string{"\xf5RC\x0aS", "\xf5RC\x0aE", "\xf5RC\x0aW"} {
				So(string(before), ShouldContainSubstring, kind)
			}
			So(string(before[:8]), ShouldEqual, "PLSTORE1")
		})
	})
}
