package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// trackedBody is a body that remembers how it ended. Bytes behind the last line break before a reset are no line, even where
// they can be parsed.
type trackedBody struct {
	io.Reader
	err error
}

func (t *trackedBody) Read(b []byte) (n int, err error) {
	n, t.err = t.Reader.Read(b)
	return n, t.err
}

func (t *trackedBody) lines(data []byte, atEnd bool) (advance int, token []byte, err error) {
	if atEnd && !errors.Is(t.err, io.EOF) && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEnd)
}

// lineAssembler joins the lines of an indented list: from the one that opens an object to the one that closes it. An empty line
// in between is a heartbeat behind a truncated list, which is then passed on as it is, to be rejected.
type listAssembler struct {
	text              []byte
	depth             int
	inString, escaped bool
}

// add adds a line, and returns what it completes: a list, or an empty line.
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
