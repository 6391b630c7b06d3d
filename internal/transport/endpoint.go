package transport

import "context"

// Route is the path of an endpoint together with its kind: a IdempotentRoute or a AtMostOnceRoute.
type Route interface {
	Path() string
	idempotent() bool
}

// IdempotentRoute leads to a call that may be carried out several times. Whoever sends a call again after it may have run
// asks for this type.
type IdempotentRoute struct{ path string }

// Path returns the path.
func (r IdempotentRoute) Path() string     { return r.path }
func (r IdempotentRoute) idempotent() bool { return true }

// AtMostOnceRoute leads to a call that is carried out once at most.
type AtMostOnceRoute struct{ path string }

// Path returns the path.
func (r AtMostOnceRoute) Path() string     { return r.path }
func (r AtMostOnceRoute) idempotent() bool { return false }

// Idempotent is an internal call that has the same effect when it is carried out several times, also late and also by
// several processes one after the other.
type Idempotent[Request, Reply any] struct{ route IdempotentRoute }

// NewIdempotent declares an endpoint; beside its path, and once.
func NewIdempotent[Request, Reply any](path string) Idempotent[Request, Reply] {
	return Idempotent[Request, Reply]{IdempotentRoute{path}}
}

// Route returns the untyped route, for those who choose among several endpoints.
func (e Idempotent[Request, Reply]) Route() IdempotentRoute { return e.route }

// Path returns the path.
func (e Idempotent[Request, Reply]) Path() string { return e.route.path }

// Call sends the call to the process at an address.
func (e Idempotent[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e Idempotent[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// AtMostOnce is an internal call that does harm when it is carried out again, or later than it was meant.
type AtMostOnce[Request, Reply any] struct{ route AtMostOnceRoute }

// NewAtMostOnce declares an endpoint; beside its path, and once.
func NewAtMostOnce[Request, Reply any](path string) AtMostOnce[Request, Reply] {
	return AtMostOnce[Request, Reply]{AtMostOnceRoute{path}}
}

// Route returns the untyped route, for those who choose among several endpoints.
func (e AtMostOnce[Request, Reply]) Route() AtMostOnceRoute { return e.route }

// Path returns the path.
func (e AtMostOnce[Request, Reply]) Path() string { return e.route.path }

// Call sends the call to the process at an address.
func (e AtMostOnce[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e AtMostOnce[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// Endpoint is a Repeatable or a Once.
type Endpoint[Request, Reply any] interface {
	Path() string
	endpoint(Request, Reply) Route
}
