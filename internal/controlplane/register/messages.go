package register

import (
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/transport"
)

// outcome is an acceptor's decision on a request.
type outcome uint8

const (
	granted      outcome = iota + 1 // done, and durable
	conflict                        // a higher ballot was promised to another proposer
	viewMismatch                    // the proposer works with another view
)

// prepareRequest asks an acceptor to refuse lower ballots from now on.
type prepareRequest struct {
	ViewVersion uint64 `msgpack:"w"`
	Ballot      Ballot `msgpack:"b"`
}

// acceptRequest asks an acceptor to store a state.
type acceptRequest struct {
	ViewVersion uint64 `msgpack:"w"`
	Ballot      Ballot `msgpack:"b"`
	State       state  `msgpack:"s"`
}

// readRequest asks an acceptor for its state, without a promise. A state is left out of the answer where the asker knows it:
// a ballot stands for one state within a view.
type readRequest struct {
	ViewVersion uint64 `msgpack:"w"`
	Known       Ballot `msgpack:"k"` // under which the newest state that the asker holds was accepted
}

// reply is an acceptor's answer to each of them.
type reply struct {
	Outcome  outcome         `msgpack:"o"`
	View     replicaset.View `msgpack:"w"` // the acceptor's; the members are left out where the versions match
	Promised Ballot          `msgpack:"p"`
	Accepted Ballot          `msgpack:"a"`
	State    state           `msgpack:"s"` // not in answers to accept requests, nor where the asker knows it
}

// Internal calls of the register of a name. Votes under one ballot are alike whenever and however often they are given.
func prepareCall(name string) transport.Repeatable[prepareRequest, reply] {
	return transport.NewRepeatable[prepareRequest, reply]("/register/" + name + "/prepare")
}

func acceptCall(name string) transport.Repeatable[acceptRequest, reply] {
	return transport.NewRepeatable[acceptRequest, reply]("/register/" + name + "/accept")
}

func readCall(name string) transport.Repeatable[readRequest, reply] {
	return transport.NewRepeatable[readRequest, reply]("/register/" + name + "/read")
}
