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
	// filesPerDirectory are as many as a directory's share is split into, so that the oldest eighth goes and not all.
	filesPerDirectory = 8
	// waiting intervals beyond these are dropped: a disk that takes none for a minute must not cost memory.
	mostWaiting = 60
)

// Store is where an aggregator's captures go.
type Store struct {
	Directory string
	MostBytes int64         // of all files there
	MostAge   time.Duration // of a file's last interval
}

// Writer writes intervals in a goroutine of its own. A disk that is full or gone costs intervals, and nothing else.
type Writer struct {
	store Store
	in    *eventqueue.Queue[*Interval] // nil to end
	wait  chan struct{}
	log   *zap.Logger
	count *counters.Set
	ended chan struct{}
	file  *os.File
	size  int64
}

// NewWriter makes the directory and begins a file at the first interval.
func NewWriter(store Store, log *zap.Logger, count *counters.Set) (*Writer, error) {
	if err := os.MkdirAll(store.Directory, 0o700); err != nil {
		return nil, err
	}
	w := &Writer{store: store, in: eventqueue.New[*Interval](), wait: make(chan struct{}, mostWaiting), log: log, count: count, ended: make(chan struct{})}
	go w.run()
	return w, nil
}

// Put hands over an interval and never blocks.
func (w *Writer) Put(i Interval) {
	select {
	case w.wait <- struct{}{}:
		w.in.Put(&i)
	default:
		w.count.Add("capture", "dropped", 1)
	}
}

// Stop ends the writer after all that waits is written.
func (w *Writer) Stop() {
	w.in.Put(nil)
	<-w.ended
}

func (w *Writer) run() {
	defer close(w.ended)
	var list []*Interval
	bad := false
	for range w.in.Ready() {
		list = w.in.Take(list)
		for _, i := range list {
			if i == nil {
				if err := w.closeFile(); err != nil {
					w.log.Error("capture not written", zap.String("text", err.Error()))
				}
				return
			}
			<-w.wait
			err := w.write(i)
			if err == nil {
				w.count.Add("capture", "written", 1)
			} else if w.count.Add("capture", "failed", 1); !bad {
				w.log.Error("capture not written; further ones are only counted", zap.String("text", err.Error()))
			}
			bad = err != nil
		}
	}
}

// closeFile closes the file, if there is one. A failed close means that intervals may be missing from it.
func (w *Writer) closeFile() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	return f.Close()
}

// write appends an interval, in a new file where the last one is full. Its error is also that of closing the full one.
func (w *Writer) write(i *Interval) (err error) {
	block, err := AppendBlock(nil, i)
	if err != nil {
		return err
	}
	if w.file != nil && w.size+int64(len(block)) > w.store.MostBytes/filesPerDirectory {
		closed := w.closeFile()
		defer func() { err = errors.Join(err, closed) }()
	}
	if w.file == nil {
		if err := w.openFile(i.At); err != nil {
			return err
		}
	}
	n, err := w.file.Write(block)
	if w.size += int64(n); err != nil { // what stands there in part is where the file ends for whoever reads it
		return errors.Join(err, w.closeFile())
	}
	return nil
}

// openFile opens a new file, after the oldest ones have gone.
func (w *Writer) openFile(at float64) error {
	if err := w.removeOldFiles(); err != nil {
		return err
	}
	path := filepath.Join(w.store.Directory, fmt.Sprintf("%017.3f%s", at, fileSuffix))
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

// removeOldFiles removes files that are too old, and the oldest ones until there is room for one more.
func (w *Writer) removeOldFiles() error {
	list, err := listFiles(w.store.Directory)
	if err != nil {
		return err
	}
	total := int64(0)
	for _, f := range slices.Backward(list) {
		total += f.size
		if total > w.store.MostBytes*(filesPerDirectory-1)/filesPerDirectory || time.Since(f.changed) > w.store.MostAge {
			if err := os.Remove(f.path); err != nil {
				return err
			}
			w.count.Add("capture", "removed", 1)
		}
	}
	return nil
}

type captureFile struct {
	path    string
	size    int64
	changed time.Time
}

// listFiles is the captures of a directory, oldest first.
func listFiles(dir string) (out []captureFile, err error) {
	entries, err := os.ReadDir(dir) // by name, which is by time
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

// Open reads a capture: a file, or all of a directory. A file that is cut off is read up to the cut, which is told; the
// error is of what can't be read at all.
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
		_ = file.Close() // it was only read
		if truncated := (*TruncatedError)(nil); errors.As(err, &truncated) {
			truncations = append(truncations, name+": "+truncated.Error())
		} else if err != nil {
			return c, truncations, fmt.Errorf("%s: %w", name, err)
		}
	}
	c.sort()
	return c, truncations, nil
}

// Save writes a capture to a file, whole or not at all.
func Save(path string, c Capture) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".capture-")
	if err != nil {
		return err
	}
	if err = c.write(f); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name()) // what stays has a temporary name; the error that is returned is the cause
	}
	return err
}

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
