package storage

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestWireForms pins the encoded forms of the types that leave the process.
func TestWireForms(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "change", Value: new(Change)},
	)
}

// TestWireConstants pins the constants that leave the process.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: fileName, Want: "store.log"},
		goldentest.Constant{Have: fileMagic, Want: "PLSTORE1"},
		goldentest.Constant{Have: recordMagic, Want: "\xf5RC\n"},
		goldentest.Constant{Have: snapshotRecord, Want: 83},
		goldentest.Constant{Have: snapshotEnd, Want: 69},
		goldentest.Constant{Have: writeRecord, Want: 87},
	)
}

// TestWireRecord pins the file: its header, and a record with its head and its changes.
func TestWireRecord(t *testing.T) {
	const fileNumber, offset = 7, 20
	changes := []Change{{Table: "text 1", Key: "text 2", Value: []byte{3, 4}}, {Table: "text 5", Key: "text 6"}}
	payload, err := appendChanges(nil, changes)
	if err != nil {
		t.Fatal(err)
	}
	whole := append(appendRecordHead(encodeHeader(fileNumber), fileNumber, offset, writeRecord, payload), payload...)
	const want = "504c53544f5245310700000000000000f0f32e20f552430a572100000086251462a6746578742031a6746578742032c4020304a6746578742035a6746578742036c0"
	if have := hex.EncodeToString(whole); have != want {
		t.Errorf("encoded as %s, want %s", have, want)
	}
	stored, _ := hex.DecodeString(want)
	if number, err := decodeHeader(stored[:headerLength]); err != nil || number != fileNumber {
		t.Errorf("the header has the number %d: %v", number, err)
	}
	rest := stored[headerLength:]
	read, err := readRecord(bytes.NewReader(rest), fileNumber, offset, int64(len(rest)))
	if err != nil || read.kind != writeRecord || !reflect.DeepEqual(read.changes, changes) {
		t.Errorf("read as %+v: %v", read, err)
	}
}
