package transport

import "context"

// Route is the path of an endpoint together with its kind: an IdempotentRoute or an AtMostOnceRoute.
type Route interface {
	// Path is the path of the URL.
	Path() string
	idempotent() bool
}

// IdempotentRoute is the route of an idempotent call. Code that retries a call which may have been executed takes this type.
type IdempotentRoute struct{ path string }

// Path implements Route.
func (r IdempotentRoute) Path() string     { return r.path }
func (r IdempotentRoute) idempotent() bool { return true }

// AtMostOnceRoute is the route of an at-most-once call.
type AtMostOnceRoute struct{ path string }

// Path implements Route.
func (r AtMostOnceRoute) Path() string     { return r.path }
func (r AtMostOnceRoute) idempotent() bool { return false }

// Idempotent is the endpoint of an internal call that has the same effect when it is executed several times, also late, and
// also by several processes one after the other.
type Idempotent[Request, Reply any] struct{ route IdempotentRoute }

// NewIdempotent declares an endpoint. Each is declared once, for caller and callee.
func NewIdempotent[Request, Reply any](path string) Idempotent[Request, Reply] {
	return Idempotent[Request, Reply]{IdempotentRoute{path}}
}

// Route returns the route without the types, for code that chooses among several endpoints.
func (e Idempotent[Request, Reply]) Route() IdempotentRoute { return e.route }

// Path returns the path of the URL.
func (e Idempotent[Request, Reply]) Path() string { return e.route.path }

// Call sends a request to the process at an address, host:port. Errors are those of Caller.
func (e Idempotent[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e Idempotent[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// AtMostOnce is the endpoint of an internal call that must not be executed a second time, nor long after it was sent.
type AtMostOnce[Request, Reply any] struct{ route AtMostOnceRoute }

// NewAtMostOnce declares an endpoint. Each is declared once, for caller and callee.
func NewAtMostOnce[Request, Reply any](path string) AtMostOnce[Request, Reply] {
	return AtMostOnce[Request, Reply]{AtMostOnceRoute{path}}
}

// Route returns the route without the types, for code that chooses among several endpoints.
func (e AtMostOnce[Request, Reply]) Route() AtMostOnceRoute { return e.route }

// Path returns the path of the URL.
func (e AtMostOnce[Request, Reply]) Path() string { return e.route.path }

// Call sends a request to the process at an address, host:port. Errors are those of Caller.
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
