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

// tokenBytes is the length in bytes of a token's secret and of its hash.
const tokenBytes = 32

// NewToken generates a random token and returns it with its keyed hash. Both are in hex.
func NewToken(key []byte) (token, hash string, err error) {
	secret := make([]byte, tokenBytes)
	rand.Read(secret)
	token = hex.EncodeToString(secret)
	sum, err := hashToken(key, token)
	return token, hex.EncodeToString(sum), err
}

// hashToken returns the keyed BLAKE3 hash of a token.
func hashToken(key []byte, token string) ([]byte, error) {
	h, err := blake3.NewKeyed(key)
	if err != nil {
		return nil, err
	}
	h.WriteString(token)
	return h.Sum(nil), nil
}

// authenticator checks the bearer tokens of requests against the hashes in the operator's file.
type authenticator struct {
	key    []byte
	tokens []operatorfile.Token
	hashes [][]byte
}

// newAuthenticator reads the key file and decodes the token hashes. Without tokens it needs no key file.
func newAuthenticator(settings operatorfile.Operators) (*authenticator, error) {
	auth := &authenticator{tokens: settings.Tokens}
	if len(settings.Tokens) == 0 {
		return auth, nil
	}
	var err error
	if auth.key, err = operatorfile.ReadKey(settings.KeyFile); err != nil {
		return nil, err
	}
	for _, t := range settings.Tokens {
		hash, err := hex.DecodeString(t.Hash)
		if err != nil || len(hash) != tokenBytes {
			return nil, invalid("token %q: expected a hash of %d hex digits", t.Name, 2*tokenBytes)
		}
		auth.hashes = append(auth.hashes, hash)
	}
	return auth, nil
}

var errUnknownToken = errors.New("expected Authorization: Bearer and a token that is known")

// authenticate returns the name and the role of the token in an Authorization header. It compares the token's hash with
// every known hash, each in constant time, so that the response time reveals nothing about the hashes. Without
// configured tokens, only the socket's file mode restricts access, and each caller may write.
func (a *authenticator) authenticate(header string) (name string, mayWrite bool, err error) {
	if len(a.tokens) == 0 {
		return "", true, nil
	}
	token, bearer := strings.CutPrefix(header, "Bearer ")
	sum, err := hashToken(a.key, token)
	if err != nil {
		return "", false, err
	}
	found := -1
	for i, hash := range a.hashes {
		if subtle.ConstantTimeCompare(sum, hash) == 1 {
			found = i
		}
	}
	if !bearer || found < 0 {
		return "", false, errUnknownToken
	}
	return a.tokens[found].Name, a.tokens[found].Write, nil
}
