package agent

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/wakeup"
)

const (
	// initialCallBytes is the limit for bytes of chunks in the first call. Later limits are adapted between minCallBytes and
	// maxCallBytes. A call fetches at least one chunk regardless of the limit, so that every successful call makes progress.
	initialCallBytes = 8 << 10
	// minCallBytes is the smallest limit for bytes of chunks in one call.
	minCallBytes = 1 << 10
	// maxCallBytes is the largest limit for bytes of chunks in one call.
	maxCallBytes = 128 << 10
	// fastCallDuration is the duration below which the byte limit of the next call is doubled. A call that lasts between
	// fastCallDuration and slowCallDuration delays client packets on the same link only a little.
	fastCallDuration = 40 * time.Millisecond
	// slowCallDuration is the duration above which the byte limit of the next call is halved.
	slowCallDuration = 160 * time.Millisecond
	// packedChunkBytes is the approximate size of a packed chunk. It is used to calculate how many chunks to request.
	packedChunkBytes = 256
)

// download collects the chunks of a newer configuration from the sources that have offered it. It keeps the received chunks when a
// call fails, when a source becomes unavailable, and when a newer configuration replaces the one in progress. Its methods are safe
// for concurrent use.
type download struct {
	mutex         sync.Mutex
	version       uint64 // version in progress; 0 for none
	assembler     *chunks.Assembler
	offeredAt     time.Time // when the version in progress was first offered
	outdatedSince time.Time // since when a newer configuration than the one in force is known; zero if none is
	sources       []string  // sources to request chunks from, in this order
	excluded      []string  // sources that are not tried again for this version
	nextCallBytes int       // limit for bytes of chunks in the next call
	wake          wakeup.Signal
}

func newDownload() *download { return &download{nextCallBytes: initialCallBytes, wake: wakeup.New()} }

// callBytes returns the limit for bytes of chunks in the next call.
func (d *download) callBytes() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.nextCallBytes
}

// versionInProgress returns the version in progress, or 0 if there is none.
func (d *download) versionInProgress() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}

// newerKnownSince returns since when a newer configuration than the one in force is known. Outdated is false if none is.
func (d *download) newerKnownSince() (since time.Time, outdated bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.outdatedSince, !d.outdatedSince.IsZero()
}

// addOffer adds a source and the chunks of its offer. An offer of an older version than the one in progress is ignored. A newer
// version replaces the one in progress. The error is chunks.ErrManifest or chunks.ErrPacked.
func (d *download) addOffer(version uint64, offer *feed.Offer, source string, known chunks.Source, now time.Time) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version < d.version {
		return nil
	}
	if version > d.version {
		if err := d.start(version, offer.Manifest, known, now); err != nil {
			return err
		}
	}
	if !slices.Contains(d.sources, source) {
		d.sources = append([]string{source}, d.sources...)
	}
	d.excluded = slices.DeleteFunc(d.excluded, func(address string) bool { return address == source })
	d.wake.Notify()
	return d.assembler.AddPacked(offer.Chunks)
}

// start makes version the one in progress, and reuses the chunks of known and of the previous download. The caller must hold the
// mutex.
func (d *download) start(version uint64, manifest chunks.Manifest, known chunks.Source, now time.Time) error {
	chunkSources := []chunks.Source{known}
	if d.assembler != nil {
		chunkSources = append(chunkSources, d.assembler.Chunk)
	}
	assembler, err := chunks.NewAssembler(manifest, chunkSources...)
	if err != nil {
		return err
	}
	d.version, d.assembler, d.offeredAt = version, assembler, now
	d.sources, d.excluded = nil, nil
	if d.outdatedSince.IsZero() {
		d.outdatedSince = now
	}
	return nil
}

// errContentMismatch reports that the chunks of a configuration do not form the content that its manifest describes.
var errContentMismatch = fmt.Errorf("configuration not taken: %w", chunks.ErrContent)

// takeCompleted returns the configuration in progress if all its chunks have arrived, and ends the download. It returns version 0
// if the download is not complete. If the content does not match the manifest, it discards the chunks and returns
// errContentMismatch.
func (d *download) takeCompleted() (version uint64, body []byte, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.version == 0 || !d.assembler.Complete() {
		return 0, nil, nil
	}
	body, err = d.assembler.Content()
	version = d.version
	d.version, d.assembler = 0, nil
	if err != nil {
		return 0, nil, errContentMismatch
	}
	return version, body, nil
}

// markInForce records that the last completed configuration is in force. A download of a newer one may already be in progress.
func (d *download) markInForce() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outdatedSince = time.Time{}
	if d.version > 0 {
		d.outdatedSince = d.offeredAt
	}
}

// chunksCall is one call of a download for chunks.
type chunksCall struct {
	version uint64
	source  string
	request feed.ChunksRequest
}

// nextCall returns the next call of the download, if there is one. If no source that offered the configuration is left, the
// addresses in others are tried once each. After that the download is abandoned until a source offers the configuration again.
func (d *download) nextCall(others []string) (call chunksCall, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.version == 0 {
		return chunksCall{}, false
	}
	if len(d.sources) == 0 {
		d.sources = slices.DeleteFunc(slices.Clone(others), func(address string) bool {
			return slices.Contains(d.excluded, address)
		})
	}
	if len(d.sources) == 0 {
		d.version = 0 // the received chunks are kept for the next offer
		return chunksCall{}, false
	}
	sums := d.assembler.Missing(1 + d.nextCallBytes/packedChunkBytes)
	return chunksCall{d.version, d.sources[0], feed.ChunksRequest{Sums: chunks.JoinSums(sums), MaxBytes: d.nextCallBytes}}, true
}

// handleReply adds the chunks of a reply and adapts the size of the next call. A source that returned no missing chunk is excluded.
func (d *download) handleReply(call chunksCall, reply feed.ChunksReply, elapsed time.Duration) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.adaptCallSize(elapsed)
	if d.assembler == nil {
		return nil
	}
	before := d.assembler.MissingCount()
	err := d.assembler.AddPacked(reply.Chunks)
	if d.assembler.MissingCount() == before {
		d.excludeSource(call)
	}
	return err
}

// handleFailure halves the byte limit after a failed call and excludes its source.
func (d *download) handleFailure(call chunksCall) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.nextCallBytes = max(minCallBytes, d.nextCallBytes/2)
	d.excludeSource(call)
}

// excludeSource excludes the source of call from the download, unless another version is in progress. The caller must hold the mutex.
func (d *download) excludeSource(call chunksCall) {
	if call.version != d.version {
		return
	}
	d.sources = slices.DeleteFunc(d.sources, func(address string) bool { return address == call.source })
	d.excluded = append(d.excluded, call.source)
}

// adaptCallSize adapts the byte limit of the next call to the bandwidth that client requests leave on the link. The caller must
// hold the mutex.
func (d *download) adaptCallSize(elapsed time.Duration) {
	switch {
	case elapsed < fastCallDuration:
		d.nextCallBytes = min(maxCallBytes, 2*d.nextCallBytes)
	case elapsed > slowCallDuration:
		d.nextCallBytes = max(minCallBytes, d.nextCallBytes/2)
	}
}
