package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// platform is a stand-in of the platform's list of searchers. The searchers of a case do not change, so the list has one page that
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

// startPlatform starts a platform that lists the searchers of a farm.
func startPlatform(f *farm) (*platform, error) {
	var entries []instance
	for _, s := range f.searchers {
		entries = append(entries, instance{
			Identifier: s.id, Service: s.service, Address: s.address, Zone: "hal-nord", Version: "v1", Slots: 8, State: "ready",
			Capacity: s.capacity, Labels: []string{"a", s.rack},
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
	server := &http.Server{ReadHeaderTimeout: headerLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.Write(list)
	})}
	go func() { _ = server.Serve(listener) }() // until it is closed
	return &platform{server: server, address: listener.Addr().String()}, nil
}
