package asynclog

import (
	"io"
	"sync"
)

// maxPooledBuffer is the maximum capacity, in bytes, of a buffer that is reused. The memory of a longer line is released.
const maxPooledBuffer = 64 << 10

// Writer writes lines to another writer from a goroutine of its own. Write never blocks: a line is dropped if the buffer is
// full.
type Writer struct {
	out     io.Writer
	lines   chan *[]byte // buffered lines; nil marks the end
	buffers sync.Pool
	dropped func()
	done    chan struct{} // closed when run has returned
}

// NewWriter returns a writer to out that buffers up to maxLines lines. It calls dropped for each line that it drops, from
// the goroutine that called Write.
func NewWriter(out io.Writer, maxLines int, dropped func()) *Writer {
	w := &Writer{
		out:     out,
		lines:   make(chan *[]byte, maxLines),
		buffers: sync.Pool{New: func() any { return new([]byte) }},
		dropped: dropped,
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers a copy of a line, or drops the line if the buffer is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	buffer := w.buffers.Get().(*[]byte) //nolint:forcetypeassert // the pool contains only this type
	*buffer = append((*buffer)[:0], line...)
	select {
	case w.lines <- buffer:
	default:
		w.recycle(buffer)
		w.dropped()
	}
	return len(line), nil
}

// Sync does nothing. Lines are written without delay, and Close waits for the last one.
func (*Writer) Sync() error { return nil }

// Close writes all buffered lines and stops the writer. It must be called only once. Later lines are not written.
func (w *Writer) Close() {
	w.lines <- nil
	<-w.done
}

// run writes lines until it reads the end mark of Close.
func (w *Writer) run() {
	defer close(w.done)
	for buffer := <-w.lines; buffer != nil; buffer = <-w.lines {
		w.write(buffer)
	}
}

// write writes a line. It ignores errors: the log itself has failed, so they cannot be logged.
func (w *Writer) write(buffer *[]byte) {
	_, _ = w.out.Write(*buffer)
	w.recycle(buffer)
}

// recycle returns a buffer to the pool unless it is too large.
func (w *Writer) recycle(buffer *[]byte) {
	if cap(*buffer) <= maxPooledBuffer {
		w.buffers.Put(buffer)
	}
}
