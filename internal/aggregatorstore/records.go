package aggregatorstore

import (
	"encoding/binary"
	"encoding/json"

	"github.com/zeebo/xxh3"
)

const checksumSize = 8

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeUint64 decodes a number that encodeUint64 encoded. It returns 0 if the length is wrong.
func decodeUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// addChecksum prepends the data's XXH3 checksum in big-endian byte order.
func addChecksum(data []byte) []byte { return append(encodeUint64(xxh3.Hash(data)), data...) }

// verifyChecksum verifies the checksum of a record and returns a copy of its data. The error is a corruptError.
func verifyChecksum(record []byte) ([]byte, error) {
	if len(record) < checksumSize || xxh3.Hash(record[checksumSize:]) != binary.BigEndian.Uint64(record) {
		return nil, &corruptError{invalidContents("a record's checksum is wrong")}
	}
	return append([]byte{}, record[checksumSize:]...), nil
}

// encodeRecord encodes a value as JSON and prepends a checksum.
func encodeRecord(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return addChecksum(text), nil
}

// decodeRecord decodes a record that encodeRecord encoded. The error is a corruptError.
func decodeRecord(record []byte, value any) error {
	text, err := verifyChecksum(record)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, value); err != nil {
		return &corruptError{err}
	}
	return nil
}
