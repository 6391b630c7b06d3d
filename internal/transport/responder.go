package transport

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// MisdirectedError is the cause of a rejection by a process other than the addressee. The call was not executed.
type MisdirectedError struct {
	Address  string // host:port
	Intended Addressee
	Actual   Identity // of the process that rejected the call
}

// Error implements the error interface.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("%s is not served by %s any more, but by %s", e.Address, e.Intended.headerText(), e.Actual)
}

// isRestart tells whether the process that rejected the call is another incarnation of the addressee.
func (e *MisdirectedError) isRestart() bool {
	intended, ok := e.Intended.(Process)
	return ok && intended.sameNode(e.Actual)
}

var (
	errWrongCall    = errors.New("the answer is to another call")
	errWrongProcess = errors.New("the answer is another process's")
)

// checkResponder checks that a response is the addressee's and to this call, and keeps the directory up to date.
func (c *Client) checkResponder(call *outgoingCall, response *http.Response) error {
	header := response.Header.Get(FromHeader)
	if header == call.toHeader { // the usual case: a known process, and this call
		return nil
	}
	from, err := parseFromHeader(header)
	if err != nil {
		return c.checkUnnamedResponder(call)
	}
	if callIDOf(header) != call.id {
		c.Close() // responses on the connection no longer match its requests
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w", call, errWrongCall))
	}
	intended, known := call.addressee.(Process)
	if response.StatusCode == http.StatusMisdirectedRequest {
		c.updateDirectory(call.address, intended, call.knownProcess(from, response))
		return rpcerror.WrapNotExecuted(&MisdirectedError{Address: call.address, Intended: call.addressee, Actual: from}, 0)
	}
	if !call.addressee.matches(from) {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: %s", call, errWrongProcess, from))
	}
	if !known {
		c.directory.add(call.address, call.knownProcess(from, response))
	}
	return nil
}

// knownProcess is the directory entry for the process that gave a response.
func (o *outgoingCall) knownProcess(from Identity, response *http.Response) knownProcess {
	milliseconds, _ := strconv.ParseInt(response.Header.Get(ClockHeader), 10, 64)
	return knownProcess{from, from.String(), time.Duration(milliseconds) * time.Millisecond, o.sentAt}
}

// checkUnnamedResponder checks a response without FromHeader: an older build's, which is accepted on first contact only.
func (c *Client) checkUnnamedResponder(call *outgoingCall) error {
	intended, known := call.addressee.(Process)
	if !known {
		return nil
	}
	c.directory.remove(call.address, intended.Identity)
	return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: it has no name", call, errWrongProcess))
}

// updateDirectory notes the process that rejected a call: a restarted one takes its place in the directory; for any other,
// the next call is a first contact.
func (c *Client) updateDirectory(address string, intended Process, actual knownProcess) {
	if intended.sameNode(actual.identity) {
		c.directory.replace(address, intended.Identity, actual)
		return
	}
	c.directory.remove(address, intended.Identity)
}
