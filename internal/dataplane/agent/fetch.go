package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	// chunksTimeout limits the duration of one call for chunks. It does not limit a whole download, which takes many calls and keeps
	// the chunks of each.
	chunksTimeout = 1500 * time.Millisecond
	// maxFetchPause limits the pause after a call for chunks.
	maxFetchPause = 250 * time.Millisecond
)

// knownOrInProgress returns the digest of what this agent knows. Its configuration version is that of the download in progress, if
// there is one, so that no other source offers the same configuration again.
func (a *Agent) knownOrInProgress() feed.Digest {
	digest := a.snapshots.Digest()
	digest.ConfigurationVersion = max(digest.ConfigurationVersion, a.download.versionInProgress())
	return digest
}

// acceptOffer starts the download of an offered configuration, or adds the source to the download in progress. It reports whether
// the offer was for a newer configuration than the one in force.
func (a *Agent) acceptOffer(received *feed.Snapshot, source string) (update bool, err error) {
	if received.Offer == nil || received.ConfigurationVersion <= a.snapshots.Digest().ConfigurationVersion {
		return false, nil
	}
	if err := a.download.addOffer(received.ConfigurationVersion, received.Offer, source, a.snapshots.Chunk, time.Now()); err != nil {
		return false, err
	}
	return true, a.finishDownload()
}

// finishDownload puts the downloaded configuration in force if it is complete.
func (a *Agent) finishDownload() error {
	version, body, err := a.download.takeCompleted()
	if err != nil || version == 0 {
		return err
	}
	a.snapshots.Merge(&feed.Snapshot{ConfigurationVersion: version, Configuration: body})
	a.download.markInForce()
	return nil
}

// fetchChunks makes the calls of downloads until ctx ends.
func (a *Agent) fetchChunks(ctx context.Context) {
	for ctx.Err() == nil {
		call, ok := a.download.nextCall(a.candidates())
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

// fetchOnce makes one call for chunks and returns the pause before the next one. The pause is as long as the call took, up to
// maxFetchPause. As a result, control traffic uses at most half of the link, and less if client packets slowed down the call.
func (a *Agent) fetchOnce(ctx context.Context, call chunksCall) (delay time.Duration) {
	callCtx, cancel := context.WithTimeout(ctx, chunksTimeout)
	defer cancel()
	start := time.Now()
	reply, err := feed.ChunksCall.Call(callCtx, a.config.Caller, call.source, call.request)
	elapsed := time.Since(start)
	if err != nil {
		a.download.handleFailure(call)
		a.config.Logger.Debug("chunk request failed", zap.String("source", call.source), zap.Error(err))
		return minBackoff
	}
	if err := a.download.handleReply(call, reply, elapsed); err != nil {
		a.download.handleFailure(call)
		a.config.Logger.Warn("chunks rejected", zap.String("source", call.source), zap.Error(err))
		return minBackoff
	}
	if err := a.finishDownload(); err != nil {
		a.config.Logger.Error("configuration not put in force", zap.String("source", call.source), zap.Error(err))
	}
	return min(elapsed, maxFetchPause)
}
