package configuration

import "crypto/sha256"

// sumBytes is the length of a body's checksum: the first 128 bits of a SHA-256.
const sumBytes = 16

// updateRequest is an operator's request to replace the configuration of version ifMatch by a body.
type updateRequest struct {
	version uint64 // of the body; 0 until it was parsed
	ifMatch uint64
	body    []byte
	bodySum [sumBytes]byte
}

// newUpdateRequest makes a request whose body was not parsed yet. Its identity is ifMatch and the body's checksum.
func newUpdateRequest(ifMatch uint64, body []byte) updateRequest {
	sum := sha256.Sum256(body)
	return updateRequest{ifMatch: ifMatch, body: body, bodySum: [sumBytes]byte(sum[:sumBytes])}
}

// versionNotAbove is the refusal of a body whose version is not above the one that it is built on.
func versionNotAboveError(version, current uint64) error {
	return newInvalidError("version", "is %d; set it above the current version %d", version, current)
}
