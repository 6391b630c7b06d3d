package transport

import "context"

// Route is the path of an endpoint together with its kind: a RepeatableRoute or a OnceRoute.
type Route interface {
	Path() string
	mayRepeat() bool
}

// RepeatableRoute leads to a call that may be carried out several times. Whoever sends a call again after it may have run
// asks for this type.
type RepeatableRoute struct{ path string }

// Path returns the path.
func (r RepeatableRoute) Path() string    { return r.path }
func (r RepeatableRoute) mayRepeat() bool { return true }

// OnceRoute leads to a call that is carried out once at most.
type OnceRoute struct{ path string }

// Path returns the path.
func (r OnceRoute) Path() string    { return r.path }
func (r OnceRoute) mayRepeat() bool { return false }

// Repeatable is an internal call that has the same effect when it is carried out several times, also late and also by
// several processes one after the other.
type Repeatable[Request, Reply any] struct{ route RepeatableRoute }

// NewRepeatable declares an endpoint; beside its path, and once.
func NewRepeatable[Request, Reply any](path string) Repeatable[Request, Reply] {
	return Repeatable[Request, Reply]{RepeatableRoute{path}}
}

// Route returns the untyped route, for those who choose among several endpoints.
func (e Repeatable[Request, Reply]) Route() RepeatableRoute { return e.route }

// Path returns the path.
func (e Repeatable[Request, Reply]) Path() string { return e.route.path }

// Call sends the call to the process at an address.
func (e Repeatable[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e Repeatable[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// Once is an internal call that does harm when it is carried out again, or later than it was meant.
type Once[Request, Reply any] struct{ route OnceRoute }

// NewOnce declares an endpoint; beside its path, and once.
func NewOnce[Request, Reply any](path string) Once[Request, Reply] {
	return Once[Request, Reply]{OnceRoute{path}}
}

// Route returns the untyped route, for those who choose among several endpoints.
func (e Once[Request, Reply]) Route() OnceRoute { return e.route }

// Path returns the path.
func (e Once[Request, Reply]) Path() string { return e.route.path }

// Call sends the call to the process at an address.
func (e Once[Request, Reply]) Call(ctx context.Context, caller Caller, address string, request Request) (reply Reply, err error) {
	err = caller.Call(ctx, address, e.route, request, &reply)
	return reply, err
}

func (e Once[Request, Reply]) endpoint(Request, Reply) Route { return e.route }

// Endpoint is a Repeatable or a Once.
type Endpoint[Request, Reply any] interface {
	Path() string
	endpoint(Request, Reply) Route
}
