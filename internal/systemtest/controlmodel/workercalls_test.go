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

// witness passes leaderships on to a node's jobs, and tells the judge of them.
type witness struct {
	replication.Handler
	judge  *judge
	member string
}

// Elected implements replication.Handler.
func (h *witness) Elected(term *replication.Term, state map[string][]byte) {
	h.judge.elected(h.member, term)
	h.Handler.Elected(term, state)
}

// orders carries a node's calls to the workers, and tells the judge of them.
type orders struct {
	world *world
	from  *machine
	life  int
}

// RoundTrip implements http.RoundTripper.
func (o *orders) RoundTrip(request *http.Request) (*http.Response, error) {
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
	kind, worker, token := cluster.Call(request.URL.Path), request.URL.Host, content.FencingToken
	o.world.judge.sending(o.from.address, kind, token)
	o.from.standStill()
	if !o.from.lives(o.life) {
		return nil, errDown
	}
	ctx := request.Context()
	sent := o.world.network.draw(o.from.address, worker, request.URL.Path, 0)
	if sent.lost {
		<-ctx.Done()
		return nil, errLost
	}
	copied := request.Clone(ctx)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	answer, err := o.world.workers.MemoryClient(sent.delay).Transport.RoundTrip(copied)
	if err != nil {
		return nil, err
	}
	o.world.judge.answered(worker, kind, token, answer.StatusCode)
	back := o.world.network.draw(worker, o.from.address, request.URL.Path, 0)
	if back.lost {
		<-ctx.Done()
		return nil, errLost
	}
	<-time.After(back.delay)
	o.from.standStill()
	return answer, nil
}
