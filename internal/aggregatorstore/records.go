package aggregatorstore

import (
	"encoding/binary"
	"encoding/json"

	"github.com/zeebo/xxh3"
)

const checksumSize = 8

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// decodeUint64 is 0 for what is no number.
func decodeUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// addChecksum puts data behind its checksum: XXH3, big endian.
func addChecksum(data []byte) []byte { return append(encodeUint64(xxh3.Hash(data)), data...) }

// verifyChecksum is a copy of the data behind a checksum. The error is a corruptError.
func verifyChecksum(record []byte) ([]byte, error) {
	if len(record) < checksumSize || xxh3.Hash(record[checksumSize:]) != binary.BigEndian.Uint64(record) {
		return nil, &corruptError{invalidContents("a record's checksum is wrong")}
	}
	return append([]byte{}, record[checksumSize:]...), nil
}

// seal encodes a value as JSON behind a checksum; unseal decodes it.
func seal(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	return addChecksum(text), nil
}

// unseal decodes what seal encoded. The error is a corruptError.
func unseal(record []byte, value any) error {
	text, err := verifyChecksum(record)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, value); err != nil {
		return &corruptError{err}
	}
	return nil
}
