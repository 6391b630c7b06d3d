package operatorfile

import (
	"encoding/hex"
	"os"
	"strings"
)

// KeyBytes is the length of a key in bytes, as BLAKE3 requires it.
const KeyBytes = 32

// ReadKey reads a key of KeyBytes bytes from a file in hex. It rejects a file that users other than its owner may access.
func ReadKey(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, invalid("%s: others than its owner may use it (mode %#o), expected 0600", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != KeyBytes {
		return nil, invalid("%s: expected %d hex digits", path, 2*KeyBytes)
	}
	return key, nil
}
