package controlmodel

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/fakes/cluster"
)

// electionObserver reports elections to the checker and passes them on to a node's job manager.
type electionObserver struct {
	replication.Handler
	checker *checker
	member  string
}

// Elected implements replication.Handler.
func (h *electionObserver) Elected(term *replication.Term, state map[string][]byte) {
	h.checker.recordTerm(h.member, term)
	h.Handler.Elected(term, state)
}

// workerTransport sends a node's calls to the workers through the simulated network and reports them to the checker.
type workerTransport struct {
	simulation  *simulation
	from        *machine
	incarnation int
}

// RoundTrip implements http.RoundTripper.
func (o *workerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	var content struct {
		FencingToken uint64 `json:"fencingToken"`
	}
	if err := json.Unmarshal(body, &content); err != nil {
		return nil, err
	}
	kind, worker, token := cluster.CallKind(request.URL.Path), request.URL.Host, content.FencingToken
	o.simulation.checker.recordCommand(o.from.address, kind, token)
	o.from.awaitResume()
	if !o.from.isCurrent(o.incarnation) {
		return nil, errDown
	}
	ctx := request.Context()
	sent := o.simulation.network.drawFate(o.from.address, worker, request.URL.Path, 0)
	if sent.lost {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	copied := request.Clone(ctx)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	answer, err := o.simulation.workers.MemoryClient(sent.delay).Transport.RoundTrip(copied)
	if err != nil {
		return nil, err
	}
	o.simulation.checker.checkWorkerReply(worker, kind, token, answer.StatusCode)
	back := o.simulation.network.drawFate(worker, o.from.address, request.URL.Path, 0)
	if back.lost {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	<-time.After(back.delay)
	o.from.awaitResume()
	return answer, nil
}
