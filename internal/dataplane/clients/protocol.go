package clients

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/policy"
)

// nameTable maps the settings' names to numbers.
type nameTable struct {
	indexes   map[string]policy.IndexID
	customers map[string]policy.CustomerID
	shards    int
}

func newNameTable(set settings.Net) nameTable {
	return nameTable{settings.IDsByName[policy.IndexID](set.Indexes), settings.IDsByName[policy.CustomerID](set.Customers), set.Shards}
}

// index is the one that the first subquery of a path names.
func (n *nameTable) index(path string) (policy.IndexID, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	id, known := n.indexes[name]
	return id, known
}

// target is a subquery in a client's request.
type target struct {
	Partition *int     `json:"partition"`
	Share     *float64 `json:"share"`
	EstUs     float64  `json:"est_us"`
	Route     string   `json:"route"`
}

// targets are a query's subqueries, at most one for each shard: a longer array is not read to its end, as it would take far
// more memory than its bytes.
type targets struct {
	limit int
	list  []target
}

func (t *targets) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	if d.PeekKind() != '[' {
		return malformed("targets is not a list")
	}
	if _, err := d.ReadToken(); err != nil { // the bracket
		return err
	}
	for d.PeekKind() != ']' {
		if len(t.list) == t.limit {
			return malformed("targets names more than %d parts", t.limit)
		}
		var next target
		if err := json.UnmarshalDecode(d, &next); err != nil {
			return err
		}
		t.list = append(t.list, next)
	}
	_, err := d.ReadToken()
	return err
}

type body struct {
	Targets targets        `json:"targets"`
	Query   jsontext.Value `json:"query"`
}

// readHead reads a query's headers and URL; the error is for the client.
func (n *nameTable) readHead(r *http.Request, q *aggregator.Query) error {
	for name, values := range r.Header {
		if len(values) > 1 && strings.HasPrefix(name, "Req-") { // which one counts is anyone's guess
			return malformed("%s stands there twice", name)
		}
	}
	if kind := r.Header.Get("Req-Kind"); kind != "" {
		if index, known := n.indexes[kind]; !known || index != q.Index {
			return malformed("Req-Kind %q does not name the index of the path", kind)
		}
	}
	q.ID = r.Header.Get("Req-Id")
	if q.ID == "" || len(q.ID) > 64 || strings.ContainsFunc(q.ID, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return malformed("Req-Id is not an id")
	}
	if owner := r.Header.Get("Req-Owner"); len(n.customers) > 0 {
		var known bool
		if q.Customer, known = n.customers[owner]; !known {
			return malformed("Req-Owner %q is not known", owner)
		}
	}
	text := r.Header.Get("Req-Deadline")
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(wait > 0) || wait > maxTimeoutS {
		return malformed("Req-Deadline is not a time in seconds")
	}
	q.Timeout, q.Resent = wait, r.Header.Get("Req-Retry") == "1"
	// A key that is none of ours is no reason to turn a query away: it only says what goes together.
	q.Key, err = strconv.ParseUint(r.URL.Query().Get("key"), 16, 64)
	q.HasKey = err == nil
	return nil
}

// readBody reads the subqueries; the query's text keeps its bytes. Names count in their own case only, and none may
// come twice: what another reader would take for the query must not differ from what we do.
func (n *nameTable) readBody(text []byte, q *aggregator.Query) error {
	in := body{Targets: targets{limit: n.shards}}
	if err := json.Unmarshal(text, &in); err != nil {
		return malformed("the body is not as expected: %v", err)
	}
	var err error
	if q.Payload, err = decodeString(in.Query); err != nil {
		return err
	}
	if len(in.Targets.list) == 0 {
		return malformed("targets names no part")
	}
	q.Subqueries = make([]aggregator.Subquery, len(in.Targets.list))
	seen := make(map[int]bool, len(in.Targets.list))
	sum := 0.0
	for i, t := range in.Targets.list {
		switch {
		case t.Partition == nil || *t.Partition < 0 || *t.Partition >= n.shards:
			return malformed("targets[%d].partition is not a shard", i)
		case seen[*t.Partition]:
			return malformed("targets[%d].partition stands there twice", i)
		case t.Share == nil || *t.Share < 0 || *t.Share > 1:
			return malformed("targets[%d].share is not a share", i)
		case t.EstUs < 0 || t.EstUs > maxTimeoutS*1e6:
			return malformed("targets[%d].est_us is not a time", i)
		}
		seen[*t.Partition] = true
		sum += *t.Share
		p := aggregator.Subquery{Shard: policy.ShardID(*t.Partition), Weight: *t.Share, Hint: t.EstUs / 1e6}
		if t.Route != "" {
			if p.Key, err = strconv.ParseUint(t.Route, 16, 64); err != nil {
				return malformed("targets[%d].route is not 16 hex digits", i)
			}
			p.HasKey = true
		}
		q.Subqueries[i] = p
	}
	if math.Abs(sum-1) > shareSlack {
		return malformed("the shares add up to %g and not to 1", sum)
	}
	return nil
}

// shareSlack is by how much shares may miss 1 together, as each is rounded to a few digits.
const shareSlack = 0.01

// maxTimeoutS is the longest wait that is taken for one: a day, so that no sum of times overflows.
const maxTimeoutS = 86400

// decodeString is the text of a JSON string. Where nothing in it is escaped those are the bytes that came.
func decodeString(raw jsontext.Value) ([]byte, error) {
	if raw.Kind() != '"' {
		return nil, malformed("query is not a text")
	}
	if text := raw[1 : len(raw)-1]; bytes.IndexByte(text, '\\') < 0 {
		return text, nil
	}
	return jsontext.AppendUnquote(nil, raw)
}

// appendResults appends the body of an answer with the values of answered subqueries.
func appendResults(b []byte, q *aggregator.Query, complete bool) []byte {
	b = append(b, `{"whole":`...)
	b = strconv.AppendBool(b, complete)
	b = append(b, `,"results":[`...)
	first := true
	for i := range q.Subqueries {
		p := &q.Subqueries[i]
		if !p.Answered {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, `{"partition":`...)
		b = strconv.AppendInt(b, int64(p.Shard), 10)
		b = append(b, `,"value":`...)
		b = append(appendText(b, p.Value), '}')
	}
	return append(b, `]}`...)
}

// appendText writes a JSON string and escapes only what JSON needs escaped; that a value is UTF-8 was checked where
// it came in.
func appendText(b, text []byte) []byte {
	b = append(b, '"')
	for _, c := range text {
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ':
			b = append(b, `\u00`...)
			b = append(b, "0123456789abcdef"[c>>4], "0123456789abcdef"[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}

// retryAfter formats seconds for Retry-After, rounded up to milliseconds.
func retryAfter(s float64) string {
	return strconv.FormatFloat(math.Ceil(s*1000)/1000, 'f', -1, 64)
}
