package storage

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the encoding of the stored types.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.MessagePack,
		goldentest.Form{Name: "change", Value: new(Change)},
	)
}

// TestWireConstantsAreUnchanged checks the constants of the file format.
func TestWireConstantsAreUnchanged(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: fileName, Want: "store.log"},
		goldentest.Constant{Have: fileMagic, Want: "PLSTORE1"},
		goldentest.Constant{Have: recordMagic, Want: "\xf5RC\n"},
		goldentest.Constant{Have: snapshotRecordKind, Want: 83},
		goldentest.Constant{Have: snapshotEndKind, Want: 69},
		goldentest.Constant{Have: writeRecordKind, Want: 87},
	)
}

// TestEncodedFileMatchesGoldenBytes checks the encoding of a file with its header and one record.
func TestEncodedFileMatchesGoldenBytes(t *testing.T) {
	const (
		fileID = 7
		offset = 20
	)
	changes := []Change{{Table: "text 1", Key: "text 2", Value: []byte{3, 4}}, {Table: "text 5", Key: "text 6"}}
	payload, err := appendChanges(nil, changes)
	if err != nil {
		t.Fatal(err)
	}
	encodedFile := append(appendRecordHeader(encodeFileHeader(fileID), fileID, offset, writeRecordKind, payload), payload...)
	const expected = "504c53544f5245310700000000000000f0f32e20f552430a572100000086251462a6746578742031a6746578742032c4020304a6746578742035a6746578742036c0"
	if have := hex.EncodeToString(encodedFile); have != expected {
		t.Errorf("encoded as %s, expected %s", have, expected)
	}
	stored, _ := hex.DecodeString(expected)
	if decodedID, err := decodeFileHeader(stored[:fileHeaderLength]); err != nil || decodedID != fileID {
		t.Errorf("the header has the file ID %d (error %v)", decodedID, err)
	}
	records := stored[fileHeaderLength:]
	read, err := readRecord(bytes.NewReader(records), fileID, offset, int64(len(records)))
	if err != nil || read.kind != writeRecordKind || !reflect.DeepEqual(read.changes, changes) {
		t.Errorf("decoded %+v (error %v)", read, err)
	}
}
