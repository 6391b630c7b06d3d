package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// trackedBody is a response body that records the last error of a read. Its split function needs that error: bytes after the
// last line break are not a line if the connection was reset, even if they can be parsed.
type trackedBody struct {
	io.Reader
	err error
}

// Read reads from the body and records the error.
func (t *trackedBody) Read(b []byte) (n int, err error) {
	n, t.err = t.Reader.Read(b)
	return n, t.err
}

// lines is a bufio.SplitFunc for lines. It drops an unterminated last line unless the body ended with io.EOF.
func (t *trackedBody) lines(data []byte, atEnd bool) (advance int, token []byte, err error) {
	if atEnd && !errors.Is(t.err, io.EOF) && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEnd)
}

// listAssembler joins the lines of an indented list, from the line that opens the object to the line that closes it. An empty
// line in between is a heartbeat after a truncated list. The truncated list is then returned as it is, and its reader rejects it.
type listAssembler struct {
	text              []byte
	depth             int // of open objects and arrays
	inString, escaped bool
}

// add adds a line. If the line completes a text, add returns that text, which is a list or an empty line.
func (g *listAssembler) add(line []byte) (text []byte, complete bool) {
	if len(g.text) > 0 {
		g.text = append(g.text, '\n')
	}
	g.text = append(g.text, line...)
	for _, c := range line {
		switch {
		case g.escaped:
			g.escaped = false
		case g.inString:
			g.escaped, g.inString = c == '\\', c != '"'
		case c == '"':
			g.inString = true
		case c == '{' || c == '[':
			g.depth++
		case c == '}' || c == ']':
			g.depth--
		}
	}
	if g.depth > 0 && !g.inString && len(line) > 0 && len(g.text) <= maxLine {
		return nil, false
	}
	text, *g = g.text, listAssembler{}
	return text, true
}
