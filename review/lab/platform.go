package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// platform is a stand-in of the platform's list of searchers. The searchers of a case never change, so the list has one page and
// never lags.
type platform struct {
	server  *http.Server
	address string
}

// instance is an entry of the list.
type instance struct {
	Identifier      string        `json:"identifier"`
	Service         string        `json:"service"`
	Address         string        `json:"address"`
	Zone            string        `json:"zone"`
	Version         string        `json:"version"`
	Slots           int           `json:"slots"`
	State           string        `json:"state"`
	ColdRemainingMS int64         `json:"coldRemainingMs"`
	Capacity        job.Resources `json:"capacity"`
	Labels          []string      `json:"labels"`
}

// startPlatform starts a platform that lists the searchers of a farm as those of a service. It answers each call after a delay.
func startPlatform(f *farm, service string, delay time.Duration) (*platform, error) {
	var entries []instance
	for number, s := range f.searchers {
		entries = append(entries, instance{
			Identifier: s.id, Service: service, Address: s.address, Zone: "zone-1", Version: "v1", Slots: 8, State: "ready",
			Capacity: s.capacity, Labels: []string{"a", fmt.Sprintf("r1-%d", number/3)},
		})
	}
	list, err := json.Marshal(map[string]any{"instances": entries, "nextPageToken": nil})
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	server := &http.Server{ReadHeaderTimeout: callLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Sleep(r.Context(), delay)
		w.Header().Set("Content-Type", "application/json")
		w.Write(list)
	})}
	go func() { _ = server.Serve(listener) }() // until Close
	return &platform{server: server, address: listener.Addr().String()}, nil
}
