package asynclog

import (
	"io"
	"sync"
)

// maxPooledBuffer is the capacity, in bytes, up to which the buffer of a line is used again: one long line must not stay for good.
const maxPooledBuffer = 64 << 10

// Writer writes lines to another writer from a goroutine of its own. Its Write never waits: a line that finds no room is dropped.
type Writer struct {
	out     io.Writer
	lines   chan *[]byte // nil after the last
	buffers sync.Pool
	dropped func()
	ended   chan struct{}
}

// NewWriter makes a writer to out that lets so many lines wait, and calls dropped for each one that it drops, from any goroutine.
func NewWriter(out io.Writer, waiting int, dropped func()) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan *[]byte, waiting),
		buffers: sync.Pool{New: func() any { return new([]byte) }},
		dropped: dropped,
		ended:   make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes a copy of a line, or drops the line; it has no error.
func (w *Writer) Write(line []byte) (int, error) {
	buffer := w.buffers.Get().(*[]byte) //nolint:forcetypeassert // the pool makes and takes nothing else
	*buffer = append((*buffer)[:0], line...)
	select {
	case w.lines <- buffer:
	default:
		w.recycle(buffer)
		w.dropped()
	}
	return len(line), nil
}

// Sync does nothing: lines go out as soon as whoever reads them lets them, and Close waits for the last.
func (*Writer) Sync() error { return nil }

// Close returns once all lines that wait are written. It is called once; lines that come later are not written.
func (w *Writer) Close() {
	w.lines <- nil
	<-w.ended
}

// run writes lines until the end that Close puts behind them.
func (w *Writer) run() {
	defer close(w.ended)
	for buffer := <-w.lines; buffer != nil; buffer = <-w.lines {
		w.write(buffer)
	}
}

// write writes a line. An error has nowhere to go: it is the log that fails.
func (w *Writer) write(buffer *[]byte) {
	_, _ = w.out.Write(*buffer)
	w.recycle(buffer)
}

func (w *Writer) recycle(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBuffer {
		w.buffers.Put(buffer)
	}
}
