package replication

import (
	"context"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// Serve registers the handlers of the internal calls with a mux.
func (n *Node) Serve(mux *transport.Mux) {
	transport.Handle(mux, voteCall, func(ctx context.Context, request voteRequest) (voteReply, error) {
		return serve(ctx, n, func(reply func(voteReply)) { n.core.requestVote(request, reply) })
	})
	transport.Handle(mux, appendCall, func(ctx context.Context, request appendRequest) (appendReply, error) {
		return serve(ctx, n, func(reply func(appendReply)) { n.core.append(request, reply) })
	})
	transport.Handle(mux, snapshotCall, func(ctx context.Context, request snapshotRequest) (snapshotReply, error) {
		return serve(ctx, n, func(reply func(snapshotReply)) { n.core.serveSnapshot(request, reply) })
	})
	transport.Handle(mux, pingCall, func(ctx context.Context, request pingRequest) (pingReply, error) {
		return serve(ctx, n, func(reply func(pingReply)) { n.core.ping(request, reply) })
	})
	transport.Handle(mux, resignCall, func(ctx context.Context, request resignRequest) (resignReply, error) {
		return serve(ctx, n, func(reply func(resignReply)) {
			n.core.handleResignation(request)
			reply(resignReply{})
		})
	})
}

// serve runs a request as a step and waits for the reply. If the step requests only a single write, the write runs on this
// goroutine, which would only wait for it otherwise.
func serve[Reply any](ctx context.Context, n *Node, step func(reply func(Reply))) (Reply, error) {
	replies := make(chan Reply, 1)
	pending := n.step(func() { step(func(reply Reply) { replies <- reply }) })
	if len(pending.writes) == 1 && len(pending.calls) == 0 {
		pending = n.write(pending.writes[0])
	}
	n.perform(pending, false) //nolint:contextcheck // effects may outlive the request and end with the context of the node
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	var none Reply
	return none, rpcerror.WrapMayHaveExecuted(errRequestCancelled)
}
