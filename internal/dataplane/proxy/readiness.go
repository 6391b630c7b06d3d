package proxy

import "net/http"

// ReadinessPath is the path of the platform's readiness check.
const ReadinessPath = "/-/readiness"

// newReadinessHandler returns a handler that answers 200 if the proxy is ready and 503 otherwise.
func newReadinessHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
