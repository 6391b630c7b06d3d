package registertest

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

func TestProcessStoreWritesNothingOnceKilled(t *testing.T) {
	convey.Convey("Given the store of a process on a disk", t, func() {
		disk := storage.NewMemory()
		store := NewProcessStore(disk)
		change := storage.Change{Table: "table", Key: "key", Value: []byte("value")}

		convey.Convey("a running process writes to the disk", func() {
			convey.So(store.Alive(), convey.ShouldBeTrue)
			convey.So(store.Write(change), convey.ShouldBeNil)
			convey.So(disk.Tables(), convey.ShouldResemble, []string{"table"})
		})
		convey.Convey("a killed process writes nothing", func() {
			store.Kill()
			convey.So(store.Alive(), convey.ShouldBeFalse)
			convey.So(store.Write(change), convey.ShouldWrap, ErrKilled)
			convey.So(disk.Tables(), convey.ShouldBeEmpty)
		})
	})
}
