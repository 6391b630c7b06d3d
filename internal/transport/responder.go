package transport

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// MisdirectedError is the cause of the error of a call that was rejected by a process other than the addressee. The call was
// not executed.
type MisdirectedError struct {
	Address  string // host:port
	Intended Addressee
	Actual   Identity // of the process that rejected the call
}

// Error implements the error interface.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("%s is no longer served by %s, but by %s", e.Address, e.Intended.headerText(), e.Actual)
}

// isRestart reports whether the process that rejected the call is another incarnation of the addressee.
func (e *MisdirectedError) isRestart() bool {
	intended, ok := e.Intended.(Process)
	return ok && intended.sameNode(e.Actual)
}

var (
	errWrongCall    = errors.New("the response belongs to another call")
	errWrongProcess = errors.New("the response is from another process")
)

// checkResponder returns an error unless a response belongs to this call and is from the addressee. It also updates the
// directory.
func (c *Client) checkResponder(call *outgoingCall, response *http.Response) error {
	header := response.Header.Get(FromHeader)
	if header == call.toHeader { // the common case: the response of a known process to this call
		return nil
	}
	from, err := parseFromHeader(header)
	if err != nil {
		return c.checkUnidentifiedResponder(call)
	}
	if callIDOf(header) != call.id {
		c.Close() // responses on the connection no longer match its requests
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w", call, errWrongCall))
	}
	intended, known := call.addressee.(Process)
	if response.StatusCode == http.StatusMisdirectedRequest {
		c.updateDirectory(call.address, intended, call.directoryEntry(from, response))
		return rpcerror.WrapNotExecuted(&MisdirectedError{Address: call.address, Intended: call.addressee, Actual: from}, 0)
	}
	if !call.addressee.matches(from) {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: %s", call, errWrongProcess, from))
	}
	if !known {
		c.directory.add(call.address, call.directoryEntry(from, response))
	}
	return nil
}

// directoryEntry returns the directory entry of the process that sent a response.
func (o *outgoingCall) directoryEntry(from Identity, response *http.Response) directoryEntry {
	milliseconds, _ := strconv.ParseInt(response.Header.Get(ClockHeader), 10, 64)
	return directoryEntry{from, from.String(), time.Duration(milliseconds) * time.Millisecond, o.sentAt}
}

// checkUnidentifiedResponder checks a response without a valid FromHeader, as an older build sends it. It accepts the response
// only if the call was addressed to AnyProcess.
func (c *Client) checkUnidentifiedResponder(call *outgoingCall) error {
	intended, known := call.addressee.(Process)
	if !known {
		return nil
	}
	c.directory.remove(call.address, intended.Identity)
	return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: the response does not identify its process", call, errWrongProcess))
}

// updateDirectory updates the directory after a process rejected a call. If the process is the restarted addressee, it replaces
// the addressee's entry. Otherwise the entry is removed, so that the next call is addressed to any process.
func (c *Client) updateDirectory(address string, intended Process, actual directoryEntry) {
	if intended.sameNode(actual.identity) {
		c.directory.replace(address, intended.Identity, actual)
		return
	}
	c.directory.remove(address, intended.Identity)
}
