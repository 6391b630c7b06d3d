package capture

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/eventqueue"
)

const (
	fileSuffix = ".capture"
	// filesPerDirectory is the number of files that share the maximum size of a directory. When the
	// directory is full, only its oldest eighth is removed, not all intervals.
	filesPerDirectory = 8
	// maxPending limits the intervals that wait to be written. Further ones are dropped, so that a disk that accepts no writes
	// for a minute does not use up memory.
	maxPending = 60
)

// StoreConfig sets where an aggregator's captures are written, and how much is kept.
type StoreConfig struct {
	Directory string
	MaxBytes  int64         // of all files in the directory
	MaxAge    time.Duration // since a file was last written
}

// Writer writes intervals to files in its own goroutine. If the disk is full or fails, intervals are lost, but the aggregator
// is not affected.
type Writer struct {
	config   StoreConfig
	queue    *eventqueue.Queue[*Interval] // a nil interval stops the writer
	pending  chan struct{}
	log      *zap.Logger
	counters *counters.Set
	stopped  chan struct{}
	file     *os.File
	size     int64
}

// NewWriter creates the directory and starts a writer. The first file is created for the first interval.
func NewWriter(config StoreConfig, log *zap.Logger, count *counters.Set) (*Writer, error) {
	if err := os.MkdirAll(config.Directory, 0o700); err != nil {
		return nil, err
	}
	w := &Writer{config: config, queue: eventqueue.New[*Interval](), pending: make(chan struct{}, maxPending), log: log, counters: count, stopped: make(chan struct{})}
	go w.run()
	return w, nil
}

// Put queues an interval to be written. It never blocks: if too many are waiting, the interval is dropped and counted.
func (w *Writer) Put(i Interval) {
	select {
	case w.pending <- struct{}{}:
		w.queue.Put(&i)
	default:
		w.counters.Add("capture", "dropped", 1)
	}
}

// Stop stops the writer after the pending intervals have been written.
func (w *Writer) Stop() {
	w.queue.Put(nil)
	<-w.stopped
}

// run writes queued intervals until Stop. It logs only the first of a series of errors.
func (w *Writer) run() {
	defer close(w.stopped)
	var list []*Interval
	failing := false
	for range w.queue.Ready() {
		list = w.queue.Take(list)
		for _, i := range list {
			if i == nil {
				if err := w.closeFile(); err != nil {
					w.log.Error("capture not written", zap.String("text", err.Error()))
				}
				return
			}
			<-w.pending
			err := w.write(i)
			if err == nil {
				w.counters.Add("capture", "written", 1)
			} else if w.counters.Add("capture", "failed", 1); !failing {
				w.log.Error("capture not written; further ones are only counted", zap.String("text", err.Error()))
			}
			failing = err != nil
		}
	}
}

// closeFile closes the file, if one is open. After an error, intervals may be missing from the file.
func (w *Writer) closeFile() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	return f.Close()
}

// write appends an interval. If the file is full, it begins a new one, and the returned error includes that of closing the
// full one.
func (w *Writer) write(i *Interval) (err error) {
	block, err := AppendBlock(nil, i)
	if err != nil {
		return err
	}
	if w.file != nil && w.size+int64(len(block)) > w.config.MaxBytes/filesPerDirectory {
		closeErr := w.closeFile()
		defer func() { err = errors.Join(err, closeErr) }()
	}
	if w.file == nil {
		if err := w.openFile(i.At); err != nil {
			return err
		}
	}
	n, err := w.file.Write(block)
	if w.size += int64(n); err != nil { // Read stops at the partly written block
		return errors.Join(err, w.closeFile())
	}
	return nil
}

// openFile removes old files and opens a new one.
func (w *Writer) openFile(at float64) error {
	if err := w.removeOldFiles(); err != nil {
		return err
	}
	path := filepath.Join(w.config.Directory, fmt.Sprintf("%017.3f%s", at, fileSuffix))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(FileHeader()); err != nil {
		return errors.Join(err, f.Close(), os.Remove(path))
	}
	w.file, w.size = f, int64(len(fileHeader))
	return nil
}

// removeOldFiles removes files that are too old, and the oldest files until there is room for a new one.
func (w *Writer) removeOldFiles() error {
	list, err := listFiles(w.config.Directory)
	if err != nil {
		return err
	}
	total := int64(0)
	for _, file := range slices.Backward(list) {
		total += file.size
		if total > w.config.MaxBytes*(filesPerDirectory-1)/filesPerDirectory || time.Since(file.changed) > w.config.MaxAge {
			if err := os.Remove(file.path); err != nil {
				return err
			}
			w.counters.Add("capture", "removed", 1)
		}
	}
	return nil
}

type captureFile struct {
	path    string
	size    int64
	changed time.Time
}

// listFiles returns the capture files of a directory, oldest first.
func listFiles(dir string) (out []captureFile, err error) {
	entries, err := os.ReadDir(dir) // sorted by name, and so by time
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() && strings.HasSuffix(e.Name(), fileSuffix) {
			out = append(out, captureFile{filepath.Join(dir, e.Name()), info.Size(), info.ModTime()})
		}
	}
	return out, nil
}

// Open reads a capture from a file, or from all capture files of a directory. A truncated file is read up to the damage, and
// truncations has an entry for it. The error is of a file that cannot be read at all.
func Open(path string) (c Capture, truncations []string, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return c, nil, err
	}
	paths := []string{path}
	if info.IsDir() {
		all, err := listFiles(path)
		if err != nil {
			return c, nil, err
		}
		if paths = nil; len(all) == 0 {
			return c, nil, invalid("%s: no captures (*%s) there", path, fileSuffix)
		}
		for _, file := range all {
			paths = append(paths, file.path)
		}
	}
	for _, name := range paths {
		file, err := os.Open(name)
		if err != nil {
			return c, truncations, err
		}
		err = Read(file, func(i *Interval) error { c.Intervals = append(c.Intervals, *i); return nil })
		_ = file.Close() // the file was only read
		if truncated := (*TruncatedError)(nil); errors.As(err, &truncated) {
			truncations = append(truncations, name+": "+truncated.Error())
		} else if err != nil {
			return c, truncations, fmt.Errorf("%s: %w", name, err)
		}
	}
	c.sort()
	return c, truncations, nil
}

// Save writes a capture to a file. It replaces the file atomically: after an error, the file is unchanged.
func Save(path string, c Capture) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".capture-")
	if err != nil {
		return err
	}
	if err = c.write(f); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // a file left behind has a temporary name; the first error is the one to return
	}
	return err
}

// write writes the file header and the blocks of all intervals.
func (c Capture) write(out io.Writer) error {
	if _, err := out.Write(FileHeader()); err != nil {
		return err
	}
	for n := range c.Intervals {
		block, err := AppendBlock(nil, &c.Intervals[n])
		if err != nil {
			return err
		}
		if _, err := out.Write(block); err != nil {
			return err
		}
	}
	return nil
}
