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
	// firstCallBytes, minCallBytes and maxCallBytes bound how many bytes of chunks one call may bring. A call fetches one chunk at
	// least, so that every call that a link can carry at all makes progress.
	firstCallBytes = 8 << 10
	minCallBytes   = 1 << 10
	maxCallBytes   = 128 << 10
	// quickCall and slowCall are the times of a call below and above which the next one brings twice or half as much.
	// Between them a call holds up the clients' packets on the same link only a little.
	quickCall = 40 * time.Millisecond
	slowCall  = 160 * time.Millisecond
	// packedChunk is about the length of a packed chunk, by which the chunks to ask for are counted.
	packedChunk = 256
)

// download gathers a newer configuration by chunks, from those who have offered it. Chunks stay when a call ends, when a
// source answers no more, and when a newer configuration takes the place of the one on its way.
type download struct {
	mutex      sync.Mutex
	version    uint64 // on its way; 0 for none
	collection *chunks.Assembler
	began      time.Time // when it was first offered
	pending    time.Time // since when a configuration is known that is newer than the one in force; zero for none
	sources    []string  // who have it, to be asked in this order
	requested  []string  // sources that are not asked again
	bytes      int       // how many bytes of chunks the next call may bring
	wake       wakeup.Signal
}

func newDownload() *download { return &download{bytes: firstCallBytes, wake: wakeup.New()} }

// callBytes is how many bytes of chunks the next call may bring.
func (d *download) callBytes() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.bytes
}

// inProgress returns the version that is on its way, or 0.
func (d *download) inProgress() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.version
}

// currentUntil is until when what is in force is known to have been the newest, if a coordinator confirms it at a time.
func (d *download) currentUntil(now time.Time) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.pending.IsZero() {
		return now
	}
	return d.pending
}

// offered takes in that a source has a configuration. An older one than the one on its way changes nothing; a newer one
// takes its place. The error is chunks.ErrManifest or chunks.ErrPacked.
func (d *download) offered(version uint64, offer *feed.Offer, source string, known chunks.Source, now time.Time) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version < d.version {
		return nil
	}
	if version > d.version {
		if err := d.begin(version, offer.Manifest, known, now); err != nil {
			return err
		}
	}
	if !slices.Contains(d.sources, source) {
		d.sources = append([]string{source}, d.sources...)
	}
	d.requested = slices.DeleteFunc(d.requested, func(address string) bool { return address == source })
	d.wake.Notify()
	return d.collection.AddPacked(offer.Chunks)
}

func (d *download) begin(version uint64, manifest chunks.Manifest, known chunks.Source, now time.Time) error {
	holders := []chunks.Source{known}
	if d.collection != nil {
		holders = append(holders, d.collection.Chunk)
	}
	collection, err := chunks.NewAssembler(manifest, holders...)
	if err != nil {
		return err
	}
	d.version, d.collection, d.began = version, collection, now
	d.sources, d.requested = nil, nil
	if d.pending.IsZero() {
		d.pending = now
	}
	return nil
}

// errWrongContent is the failure of a configuration whose chunks do not make up what was offered.
var errWrongContent = fmt.Errorf("configuration not taken: %w", chunks.ErrContent)

// finished returns the configuration once all of it has come; it is then no longer on its way. A wrong one is given up.
func (d *download) finished() (version uint64, body []byte, err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.version == 0 || !d.collection.Complete() {
		return 0, nil, nil
	}
	body, err = d.collection.Content()
	version = d.version
	d.version, d.collection = 0, nil
	if err != nil {
		return 0, nil, errWrongContent
	}
	return version, body, nil
}

// inForce notes that the configuration that was finished last is in force. Another one may be on its way already.
func (d *download) inForce() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pending = time.Time{}
	if d.version > 0 {
		d.pending = d.began
	}
}

// chunksCall is the next call that a download needs.
type chunksCall struct {
	version uint64
	source  string
	request feed.ChunksRequest
}

// next returns the next call, if there is one to make. Once no source is left that offered the configuration, the
// others are tried once each, and then the download is given up: whoever has the configuration offers it again.
func (d *download) next(others []string) (call chunksCall, ok bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.version == 0 {
		return chunksCall{}, false
	}
	if len(d.sources) == 0 {
		d.sources = slices.DeleteFunc(slices.Clone(others), func(address string) bool {
			return slices.Contains(d.requested, address)
		})
	}
	if len(d.sources) == 0 {
		d.version = 0 // what has arrived stays for the next offer
		return chunksCall{}, false
	}
	sums := d.collection.Missing(1 + d.bytes/packedChunk)
	return chunksCall{d.version, d.sources[0], feed.ChunksRequest{Sums: chunks.JoinSums(sums), MaxBytes: d.bytes}}, true
}

// arrived takes in the answer to a call. A source without any of the chunks is not asked again.
func (d *download) arrived(call chunksCall, reply feed.ChunksReply, elapsed time.Duration) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.measured(elapsed)
	if d.collection == nil {
		return nil
	}
	before := d.collection.MissingCount()
	err := d.collection.AddPacked(reply.Chunks)
	if d.collection.MissingCount() == before {
		d.drop(call)
	}
	return err
}

// failed takes in that a call got no answer.
func (d *download) failed(call chunksCall) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.bytes = max(minCallBytes, d.bytes/2)
	d.drop(call)
}

func (d *download) drop(call chunksCall) {
	if call.version != d.version {
		return
	}
	d.sources = slices.DeleteFunc(d.sources, func(address string) bool { return address == call.source })
	d.requested = append(d.requested, call.source)
}

// measured adapts the size of a call to what the link carries beside the clients' requests.
func (d *download) measured(elapsed time.Duration) {
	switch {
	case elapsed < quickCall:
		d.bytes = min(maxCallBytes, 2*d.bytes)
	case elapsed > slowCall:
		d.bytes = max(minCallBytes, d.bytes/2)
	}
}
