package replication

import (
	"context"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// Serve adds the node's internal calls to a mux.
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
			n.core.leaderResigned(request)
			reply(resignReply{})
		})
	})
}

// serve runs a request as a step and waits for the reply. A write that the step asks for runs on this goroutine, which
// would only wait for it.
func serve[Reply any](ctx context.Context, n *Node, step func(reply func(Reply))) (Reply, error) {
	replies := make(chan Reply, 1)
	work := n.step(func() { step(func(reply Reply) { replies <- reply }) })
	if len(work.writes) == 1 && len(work.calls) == 0 {
		work = n.write(work.writes[0])
	}
	n.perform(work, false) //nolint:contextcheck // effects may outlive the request: they end with the node's own context
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	var none Reply
	return none, rpcerror.WrapMayHaveExecuted(errAbandoned)
}
