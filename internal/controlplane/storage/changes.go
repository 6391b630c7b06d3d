package storage

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// appendChanges appends the MessagePack encoding of changes to buffer and returns the extended buffer.
func appendChanges(buffer []byte, changes []Change) ([]byte, error) {
	output := bytes.NewBuffer(buffer)
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(output)
	for _, change := range changes {
		err := errors.Join(
			encoder.EncodeString(change.Table),
			encoder.EncodeString(change.Key),
			encoder.EncodeBytes(change.Value))
		if err != nil {
			return nil, fmt.Errorf("encode change of %s: %w", change.Table, err)
		}
	}
	return output.Bytes(), nil
}

// decodeChanges decodes the payload of a record, which is a sequence of encoded changes.
func decodeChanges(payload []byte) ([]Change, error) {
	reader := bytes.NewReader(payload)
	decoder := msgpack.NewDecoder(reader)
	var changes []Change
	for reader.Len() > 0 {
		change, err := decodeChange(decoder)
		if err != nil {
			return nil, fmt.Errorf("decode change %d of a record: %w", len(changes), err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

func decodeChange(decoder *msgpack.Decoder) (Change, error) {
	table, err := decoder.DecodeString()
	if err != nil {
		return Change{}, err
	}
	key, err := decoder.DecodeString()
	if err != nil {
		return Change{}, err
	}
	value, err := decoder.DecodeBytes()
	return Change{Table: table, Key: key, Value: value}, err
}
