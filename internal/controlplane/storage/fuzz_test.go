package storage_test

import (
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// FuzzOpen checks that Open either rejects a file, or returns the same content when the store is opened a second time.
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
		before := store.Snapshot()
		store.Close()
		reopened, opened, err := storage.Open(disk, directory, storage.Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer reopened.Close()
		if opened.TruncatedBytes != 0 || !reflect.DeepEqual(reopened.Snapshot(), before) {
			t.Errorf("the second Open truncated %d bytes, and the store holds %v, expected %v", opened.TruncatedBytes, reopened.Snapshot(), before)
		}
	})
}

// FuzzDecodeChanges checks that decoded changes are unchanged after encoding and decoding them again.
func FuzzDecodeChanges(f *testing.F) {
	for i := range 7 {
		encoded, err := storage.AppendChanges(nil, scriptedWrite(i))
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
		decoded, err := storage.DecodeChanges(encoded)
		if err != nil || !reflect.DeepEqual(decoded, changes) {
			t.Errorf("%v was decoded as %v (error %v) after encoding", changes, decoded, err)
		}
	})
}
