package proxy

import "net/http"

// ReadinessPath is where the platform asks whether the proxy takes new connections.
const ReadinessPath = "/-/readiness"

// newReadiness answers 200 while ready, and 503 otherwise.
func newReadiness(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
