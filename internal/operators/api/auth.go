package api

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"

	"github.com/zeebo/blake3"

	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

// keyBytes is the length of a token's secret and of its hash.
const keyBytes = 32

// NewToken makes a token and its hash under a key.
func NewToken(key []byte) (token, hash string, err error) {
	secret := make([]byte, keyBytes)
	rand.Read(secret)
	token = hex.EncodeToString(secret)
	sum, err := hashed(key, token)
	return token, hex.EncodeToString(sum), err
}

func hashed(key []byte, token string) ([]byte, error) {
	h, err := blake3.NewKeyed(key)
	if err != nil {
		return nil, err
	}
	h.WriteString(token)
	return h.Sum(nil), nil
}

// door knows who may come in.
type door struct {
	key    []byte
	tokens []operatorfile.Token
	hashes [][]byte
}

func newDoor(set operatorfile.Operators) (*door, error) {
	d := &door{tokens: set.Tokens}
	if len(set.Tokens) == 0 {
		return d, nil
	}
	var err error
	if d.key, err = operatorfile.ReadKey(set.KeyFile); err != nil {
		return nil, err
	}
	for _, t := range set.Tokens {
		hash, err := hex.DecodeString(t.Hash)
		if err != nil || len(hash) != keyBytes {
			return nil, invalid("token %q: expected a hash of %d hex digits", t.Name, 2*keyBytes)
		}
		d.hashes = append(d.hashes, hash)
	}
	return d, nil
}

var errNoToken = errors.New("expected Authorization: Bearer and a token that is known")

// who tells whose a token is. All hashes are compared, each in constant time, so that nothing is told by how long it
// takes. Where there are no tokens the socket's mode is the lock, and whoever opens it may write.
func (d *door) who(header string) (name string, write bool, err error) {
	if len(d.tokens) == 0 {
		return "", true, nil
	}
	token, bearer := strings.CutPrefix(header, "Bearer ")
	sum, err := hashed(d.key, token)
	if err != nil {
		return "", false, err
	}
	found := -1
	for i, hash := range d.hashes {
		if subtle.ConstantTimeCompare(sum, hash) == 1 {
			found = i
		}
	}
	if !bearer || found < 0 {
		return "", false, errNoToken
	}
	return d.tokens[found].Name, d.tokens[found].Write, nil
}
