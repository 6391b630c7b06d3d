package storage_test

import (
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// Any file either is an error, or opens and then holds the same when it is reopened.
func FuzzOpen(f *testing.F) {
	disk := storagetest.NewDisk()
	store, _, err := storage.Open(disk, directory, storage.Options{})
	if err != nil {
		f.Fatal(err)
	}
	runScript(store, 0)
	store.Close()
	complete := disk.ReadFile(logFile)
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	f.Add(complete[:40])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		disk := storagetest.NewDisk()
		disk.WriteFile(logFile, content)
		store, _, err := storage.Open(disk, directory, storage.Options{})
		if err != nil {
			return
		}
		held := store.Snapshot()
		store.Close()
		reopened, opened, err := storage.Open(disk, directory, storage.Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer reopened.Close()
		if opened.TruncatedBytes != 0 || !reflect.DeepEqual(reopened.Snapshot(), held) {
			t.Errorf("reopened, %d bytes were truncated, and it holds %v instead of %v", opened.TruncatedBytes, reopened.Snapshot(), held)
		}
	})
}

// What decodes is encoded and decoded to the same again.
func FuzzDecodeChanges(f *testing.F) {
	for i := range 7 {
		encoded, err := storage.AppendChanges(nil, script(i))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0xc6, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		changes, err := storage.DecodeChanges(payload)
		if err != nil {
			return
		}
		encoded, err := storage.AppendChanges(nil, changes)
		if err != nil {
			t.Fatal(err)
		}
		again, err := storage.DecodeChanges(encoded)
		if err != nil || !reflect.DeepEqual(again, changes) {
			t.Errorf("%v became %v (%v)", changes, again, err)
		}
	})
}
