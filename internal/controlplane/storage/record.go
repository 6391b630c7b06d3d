package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// The file begins with a header: a magic number, a number of the file's own, and their checksum. Records follow. A
// record has a magic number, its kind, the length of its payload, a checksum, and the payload: changes as msgpack, one
// after the other. The checksum also covers the file's number and the record's offset, so that the bytes of a record
// that were copied elsewhere, for instance into a value, are not taken for one.
const (
	fileMagic        = "PLSTORE1"
	headerLength     = len(fileMagic) + 8 + 4
	recordMagic      = "\xf5RC\x0a"
	recordHeadLength = len(recordMagic) + 1 + 4 + 4
	maxPayload       = 256 << 20
	checksumLength   = 4
)

// recordKind says what a record is for.
type recordKind byte

const (
	// snapshotRecord holds a part of the tables as of the writing of the file.
	snapshotRecord recordKind = 'S'
	// snapshotEnd follows the last snapshotRecord; a file gets its name only once this record is synced.
	snapshotEnd recordKind = 'E'
	// writeRecord holds what was written together later; each is synced before the next one is begun.
	writeRecord recordKind = 'W'
)

// errCorruptRecord is the failure of a record that is incomplete or does not match its checksum.
var errCorruptRecord = errors.New("incomplete or damaged record")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeHeader makes the beginning of a file.
func encodeHeader(fileNumber uint64) []byte {
	header := append([]byte(nil), fileMagic...)
	header = binary.LittleEndian.AppendUint64(header, fileNumber)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// decodeHeader returns the file's number.
func decodeHeader(header []byte) (uint64, error) {
	body := header[:headerLength-checksumLength]
	sum := binary.LittleEndian.Uint32(header[len(body):])
	if !bytes.HasPrefix(header, []byte(fileMagic)) || sum != crc32.Checksum(body, castagnoli) {
		return 0, errCorruptRecord
	}
	return binary.LittleEndian.Uint64(body[len(fileMagic):]), nil
}

// recordChecksum is the checksum of a record.
func recordChecksum(fileNumber uint64, offset int64, kind recordKind, payload []byte) uint32 {
	var prefix [21]byte
	binary.LittleEndian.PutUint64(prefix[0:], fileNumber)
	binary.LittleEndian.PutUint64(prefix[8:], uint64(offset))
	binary.LittleEndian.PutUint32(prefix[16:], uint32(len(payload)))
	prefix[20] = byte(kind)
	sum := crc32.Update(0, castagnoli, prefix[:])
	return crc32.Update(sum, castagnoli, payload)
}

// appendRecordHead appends a record's head, which its payload follows.
func appendRecordHead(buffer []byte, fileNumber uint64, offset int64, kind recordKind, payload []byte) []byte {
	buffer = append(buffer, recordMagic...)
	buffer = append(buffer, byte(kind))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	return binary.LittleEndian.AppendUint32(buffer, recordChecksum(fileNumber, offset, kind, payload))
}

// record is a decoded record.
type record struct {
	kind    recordKind
	changes []Change
	length  int64 // in the file, with its head
}

// recordHead is the fixed part of a record.
type recordHead struct {
	kind     recordKind
	length   uint32
	checksum uint32
}

func decodeRecordHead(head []byte) (recordHead, bool) {
	if !bytes.HasPrefix(head, []byte(recordMagic)) {
		return recordHead{}, false
	}
	fields := head[len(recordMagic):]
	return recordHead{
		kind:     recordKind(fields[0]),
		length:   binary.LittleEndian.Uint32(fields[1:]),
		checksum: binary.LittleEndian.Uint32(fields[5:]),
	}, true
}

// readRecord reads the record at an offset, of which the file holds no more than remaining bytes. Where it is incomplete or
// damaged the error is errCorruptRecord.
func readRecord(reader io.Reader, fileNumber uint64, offset, remaining int64) (record, error) {
	if remaining < int64(recordHeadLength) {
		return record{}, errCorruptRecord
	}
	var fixed [recordHeadLength]byte
	if _, err := io.ReadFull(reader, fixed[:]); err != nil {
		return record{}, err
	}
	head, ok := decodeRecordHead(fixed[:])
	if !ok || int64(head.length) > remaining-int64(recordHeadLength) || head.length > maxPayload {
		return record{}, errCorruptRecord
	}
	payload := make([]byte, head.length)
	if _, err := io.ReadFull(reader, payload); err != nil {
		return record{}, err
	}
	if recordChecksum(fileNumber, offset, head.kind, payload) != head.checksum {
		return record{}, errCorruptRecord
	}
	changes, err := decodeChanges(payload)
	if err != nil {
		return record{}, err
	}
	return record{kind: head.kind, changes: changes, length: int64(recordHeadLength) + int64(head.length)}, nil
}

// containsRecord tells whether a whole record begins anywhere in the rest of a file, which starts at an offset.
func containsRecord(tail []byte, fileNumber uint64, offset int64) bool {
	for start := 0; ; start++ {
		found := bytes.Index(tail[start:], []byte(recordMagic))
		if found < 0 {
			return false
		}
		start += found
		remaining := int64(len(tail) - start)
		if _, err := readRecord(bytes.NewReader(tail[start:]), fileNumber, offset+int64(start), remaining); err == nil {
			return true
		}
	}
}
