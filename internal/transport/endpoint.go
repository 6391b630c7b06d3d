package transport

import "context"

// Route is the path and the kind of an endpoint. It is an IdempotentRoute or an AtMostOnceRoute.
type Route interface {
	// Path returns the path of the URL.
	Path() string
	idempotent() bool
}

// IdempotentRoute is the route of an idempotent call. Code that retries calls that may have been executed must require this
// type.
type IdempotentRoute struct{ path string }

// Path implements Route.
func (r IdempotentRoute) Path() string     { return r.path }
func (r IdempotentRoute) idempotent() bool { return true }

// AtMostOnceRoute is the route of an at-most-once call.
type AtMostOnceRoute struct{ path string }

// Path implements Route.
func (r AtMostOnceRoute) Path() string     { return r.path }
func (r AtMostOnceRoute) idempotent() bool { return false }

// Idempotent is the endpoint of an internal call that may be executed several times, late, and by several processes one after
// the other. The effect must be the same as of one execution.
type Idempotent[Request, Reply any] struct{ route IdempotentRoute }

// NewIdempotent declares an endpoint. Caller and callee share the declaration.
func NewIdempotent[Request, Reply any](path string) Idempotent[Request, Reply] {
	return Idempotent[Request, Reply]{IdempotentRoute{path}}
}

// Route returns the route without the type parameters, for code that selects one of several endpoints.
func (e Idempotent[Request, Reply]) Route() IdempotentRoute { return e.route }

// Path returns the path of the URL.
func (e Idempotent[Request, Reply]) Path() string { return e.route.path }

// Call sends a request to the process at an address, host:port. Errors are as described at Caller.
func (e Idempotent[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e Idempotent[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// AtMostOnce is the endpoint of an internal call that must be executed at most once, and not long after it was sent.
type AtMostOnce[Request, Reply any] struct{ route AtMostOnceRoute }

// NewAtMostOnce declares an endpoint. Caller and callee share the declaration.
func NewAtMostOnce[Request, Reply any](path string) AtMostOnce[Request, Reply] {
	return AtMostOnce[Request, Reply]{AtMostOnceRoute{path}}
}

// Route returns the route without the type parameters, for code that selects one of several endpoints.
func (e AtMostOnce[Request, Reply]) Route() AtMostOnceRoute { return e.route }

// Path returns the path of the URL.
func (e AtMostOnce[Request, Reply]) Path() string { return e.route.path }

// Call sends a request to the process at an address, host:port. Errors are as described at Caller.
func (e AtMostOnce[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e AtMostOnce[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// Endpoint is an Idempotent or an AtMostOnce.
type Endpoint[Request, Reply any] interface {
	Path() string
	endpoint(Request, Reply) Route
}
