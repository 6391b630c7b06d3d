package configuration

import "crypto/sha256"

// sumBytes is the length of a body's checksum, which is a SHA-256 hash truncated to 128 bits.
const sumBytes = 16

// updateRequest is an operator's request to replace version ifMatch of the configuration by body.
type updateRequest struct {
	version uint64         // version of the body; 0 until the body is parsed
	parsed  *Configuration // nil until the body is parsed
	ifMatch uint64
	body    []byte
	bodySum [sumBytes]byte
}

// newUpdateRequest returns a request whose body is not parsed yet. The request is identified by ifMatch and the body's checksum.
func newUpdateRequest(ifMatch uint64, body []byte) updateRequest {
	sum := sha256.Sum256(body)
	return updateRequest{ifMatch: ifMatch, body: body, bodySum: [sumBytes]byte(sum[:sumBytes])}
}

// versionNotAboveError returns the error for a body whose version is not above the one that it is based on.
func versionNotAboveError(version, current uint64) error {
	return newInvalidError("version", "is %d; set it above the current version %d", version, current)
}
