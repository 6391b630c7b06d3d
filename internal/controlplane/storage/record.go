package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// The file starts with a header: a magic number, the file's random ID, and a checksum of both. Records follow. A record has
// a header and a payload. Its header has a magic number, the record's kind, the payload's length and a checksum. The payload
// is a sequence of changes as MessagePack. The checksum also covers the file's ID and the record's offset, so that a copy of
// the record's bytes elsewhere, for example inside a value, is not valid as a record.
const (
	fileMagic          = "PLSTORE1"
	fileHeaderLength   = len(fileMagic) + 8 + 4 // magic number, file ID, checksum; bytes
	recordMagic        = "\xf5RC\x0a"
	recordHeaderLength = len(recordMagic) + 1 + 4 + 4 // magic number, kind, payload length, checksum; bytes
	maxPayloadBytes    = 256 << 20
	checksumLength     = 4 // bytes
)

// recordKind is the kind of a record.
type recordKind byte

const (
	// snapshotRecordKind is the kind of a record that holds a part of the tables at the time of the file's creation.
	snapshotRecordKind recordKind = 'S'
	// snapshotEndKind is the kind of the empty record that ends the snapshot. A new file is renamed to its final name only once
	// this record is synced.
	snapshotEndKind recordKind = 'E'
	// writeRecordKind is the kind of a record that holds one batch of writes. Each one is synced before the next one is written.
	writeRecordKind recordKind = 'W'
)

// errCorruptRecord is the error of reading a record that is incomplete or does not match its checksum.
var errCorruptRecord = errors.New("incomplete or damaged record")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// encodeFileHeader encodes the header of a file.
func encodeFileHeader(fileID uint64) []byte {
	header := append([]byte(nil), fileMagic...)
	header = binary.LittleEndian.AppendUint64(header, fileID)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoliTable))
}

// decodeFileHeader returns the file's ID.
func decodeFileHeader(header []byte) (uint64, error) {
	body := header[:fileHeaderLength-checksumLength]
	checksum := binary.LittleEndian.Uint32(header[len(body):])
	if !bytes.HasPrefix(header, []byte(fileMagic)) || checksum != crc32.Checksum(body, castagnoliTable) {
		return 0, errCorruptRecord
	}
	return binary.LittleEndian.Uint64(body[len(fileMagic):]), nil
}

// recordChecksum returns the checksum of a record, which also covers its file and its offset.
func recordChecksum(fileID uint64, offset int64, kind recordKind, payload []byte) uint32 {
	var prefix [21]byte
	binary.LittleEndian.PutUint64(prefix[0:], fileID)
	binary.LittleEndian.PutUint64(prefix[8:], uint64(offset))
	binary.LittleEndian.PutUint32(prefix[16:], uint32(len(payload)))
	prefix[20] = byte(kind)
	checksum := crc32.Update(0, castagnoliTable, prefix[:])
	return crc32.Update(checksum, castagnoliTable, payload)
}

// appendRecordHeader appends a record's header, which the caller has to follow with the payload.
func appendRecordHeader(buffer []byte, fileID uint64, offset int64, kind recordKind, payload []byte) []byte {
	buffer = append(buffer, recordMagic...)
	buffer = append(buffer, byte(kind))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	return binary.LittleEndian.AppendUint32(buffer, recordChecksum(fileID, offset, kind, payload))
}

// record is a decoded record.
type record struct {
	kind    recordKind
	changes []Change
	length  int64 // of the header and the payload, in bytes
}

// recordHeader is the part of a record before its payload. It has a fixed length.
type recordHeader struct {
	kind     recordKind
	length   uint32 // of the payload, in bytes
	checksum uint32
}

func decodeRecordHeader(encoded []byte) (recordHeader, bool) {
	if !bytes.HasPrefix(encoded, []byte(recordMagic)) {
		return recordHeader{}, false
	}
	fields := encoded[len(recordMagic):]
	return recordHeader{
		kind:     recordKind(fields[0]),
		length:   binary.LittleEndian.Uint32(fields[1:]),
		checksum: binary.LittleEndian.Uint32(fields[5:]),
	}, true
}

// readRecord reads the record at an offset. The file has remaining bytes from that offset on. The error is errCorruptRecord if
// the record is incomplete or damaged.
func readRecord(reader io.Reader, fileID uint64, offset, remaining int64) (record, error) {
	if remaining < int64(recordHeaderLength) {
		return record{}, errCorruptRecord
	}
	var encodedHeader [recordHeaderLength]byte
	if _, err := io.ReadFull(reader, encodedHeader[:]); err != nil {
		return record{}, err
	}
	header, ok := decodeRecordHeader(encodedHeader[:])
	if !ok || int64(header.length) > remaining-int64(recordHeaderLength) || header.length > maxPayloadBytes {
		return record{}, errCorruptRecord
	}
	payload := make([]byte, header.length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return record{}, err
	}
	if recordChecksum(fileID, offset, header.kind, payload) != header.checksum {
		return record{}, errCorruptRecord
	}
	changes, err := decodeChanges(payload)
	if err != nil {
		return record{}, err
	}
	return record{kind: header.kind, changes: changes, length: int64(recordHeaderLength) + int64(header.length)}, nil
}

// containsRecord reports whether a valid record starts anywhere in tail, the rest of a file from an offset on.
func containsRecord(tail []byte, fileID uint64, offset int64) bool {
	for start := 0; ; start++ {
		found := bytes.Index(tail[start:], []byte(recordMagic))
		if found < 0 {
			return false
		}
		start += found
		remaining := int64(len(tail) - start)
		if _, err := readRecord(bytes.NewReader(tail[start:]), fileID, offset+int64(start), remaining); err == nil {
			return true
		}
	}
}
