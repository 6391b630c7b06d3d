package goldentest

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	jsonexperiment "github.com/go-json-experiment/json"
	"github.com/vmihailenco/msgpack/v5"
)

// MessagePack is the codec of internal calls and of stored records.
var MessagePack = Codec{Name: "msgpack", Tag: "msgpack", Encode: msgpack.Marshal, Decode: msgpack.Unmarshal}

// CBOR is the codec of the messages between the mixers of a fleet.
var CBOR = Codec{Name: "cbor", Tag: "cbor", Encode: cbor.Marshal, Decode: cbor.Unmarshal}

// JSON is the codec of encoding/json.
var JSON = Codec{Name: "json", Tag: "json", Text: true, Encode: json.Marshal, Decode: json.Unmarshal}

// JSONExperiment is the codec of github.com/go-json-experiment/json with its default options.
var JSONExperiment = Codec{
	Name: "json", Tag: "json", Text: true,
	Encode: func(value any) ([]byte, error) { return jsonexperiment.Marshal(value) },
	Decode: func(encoded []byte, value any) error { return jsonexperiment.Unmarshal(encoded, value) },
}
