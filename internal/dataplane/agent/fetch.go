package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	// chunksTimeout bounds one call for chunks. It bounds no transfer as a whole: a call brings few chunks, and they stay.
	chunksTimeout = 1500 * time.Millisecond
	// maxYield bounds the pause after a call for chunks.
	maxYield = 250 * time.Millisecond
)

// knownOrInProgress names what this agent knows, with the configuration that is on its way in the place of the one in force, so that
// nobody sends it again.
func (a *Agent) knownOrInProgress() feed.Digest {
	digest := a.snapshots.Digest()
	digest.ConfigurationVersion = max(digest.ConfigurationVersion, a.download.inProgress())
	return digest
}

// takeOffer begins or helps to fetch a configuration that a source has offered, and tells whether it was an update.
func (a *Agent) takeOffer(received *feed.Snapshot, source string) (update bool, err error) {
	if received.Offer == nil || received.ConfigurationVersion <= a.snapshots.Digest().ConfigurationVersion {
		return false, nil
	}
	if err := a.download.offered(received.ConfigurationVersion, received.Offer, source, a.snapshots.Chunk, time.Now()); err != nil {
		return false, err
	}
	return true, a.finishDownload()
}

// finishDownload puts a configuration in force that has arrived completely.
func (a *Agent) finishDownload() error {
	version, body, err := a.download.finished()
	if err != nil || version == 0 {
		return err
	}
	a.snapshots.Merge(&feed.Snapshot{ConfigurationVersion: version, Configuration: body})
	a.download.inForce()
	return nil
}

// fetchChunks makes the calls that downloads need until ctx ends.
func (a *Agent) fetchChunks(ctx context.Context) {
	for ctx.Err() == nil {
		call, ok := a.download.next(a.candidates())
		if !ok {
			select {
			case <-ctx.Done():
			case <-a.download.wake:
			}
			continue
		}
		timer.Sleep(ctx, a.fetchOnce(ctx, call))
	}
}

// fetchOnce makes one call for chunks. It returns a pause as long as the call has taken, up to a bound: control takes half
// of the link at most, and less where clients' packets made the call slow.
func (a *Agent) fetchOnce(ctx context.Context, call chunksCall) (delay time.Duration) {
	bounded, cancel := context.WithTimeout(ctx, chunksTimeout)
	defer cancel()
	began := time.Now()
	reply, err := feed.ChunksCall.Call(bounded, a.config.Caller, call.source, call.request)
	elapsed := time.Since(began)
	if err != nil {
		a.download.failed(call)
		a.config.Logger.Debug("chunk request failed", zap.String("source", call.source), zap.Error(err))
		return minBackoff
	}
	if err := a.download.arrived(call, reply, elapsed); err != nil {
		a.download.failed(call)
		a.config.Logger.Warn("chunks rejected", zap.String("source", call.source), zap.Error(err))
		return minBackoff
	}
	if err := a.finishDownload(); err != nil {
		a.config.Logger.Error("configuration not put in force", zap.String("source", call.source), zap.Error(err))
	}
	return min(elapsed, maxYield)
}
