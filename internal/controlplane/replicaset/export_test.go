package replicaset

import (
	"context"

	"puffinlink.example/puffinlink/internal/transport"
)

// FetchView returns the view that another process knows, by the internal call; its version is 0 while it knows none.
func FetchView(ctx context.Context, caller transport.Caller, address string) (View, error) {
	reply, err := viewCall.Call(ctx, caller, address, viewRequest{})
	return reply.View, err
}
