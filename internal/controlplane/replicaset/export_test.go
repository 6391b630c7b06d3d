package replicaset

import (
	"context"

	"puffinlink.example/puffinlink/internal/transport"
)

// FetchView requests another process's view with the internal view call. The version is 0 if that process knows no view.
func FetchView(ctx context.Context, caller transport.Caller, address string) (View, error) {
	reply, err := viewCall.Call(ctx, caller, address, viewRequest{})
	return reply.View, err
}
