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

// nameTable maps the index and customer names of the settings to their IDs.
type nameTable struct {
	indexes   map[string]policy.IndexID
	customers map[string]policy.CustomerID
	shards    int
}

func newNameTable(netSettings settings.Net) nameTable {
	return nameTable{settings.IDsByName[policy.IndexID](netSettings.Indexes), settings.IDsByName[policy.CustomerID](netSettings.Customers), netSettings.Shards}
}

// index returns the index that the first segment of a path names. It reports false if there is no such index.
func (n *nameTable) index(path string) (policy.IndexID, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	id, known := n.indexes[name]
	return id, known
}

// target is the encoded form of a subquery in a client's request.
type target struct {
	Partition *int     `json:"partition"`
	Share     *float64 `json:"share"`
	EstUs     float64  `json:"est_us"`
	Route     string   `json:"route"`
}

// targets is the encoded list of a query's subqueries. Decoding fails at the first element beyond limit, which is the number of
// shards: decoded elements take far more memory than their bytes.
type targets struct {
	limit int
	list  []target
}

func (t *targets) UnmarshalJSONFrom(d *jsontext.Decoder) error {
	if d.PeekKind() != '[' {
		return malformed("targets is not a list")
	}
	if _, err := d.ReadToken(); err != nil { // the opening bracket
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

// body is the encoded form of a query's body.
type body struct {
	Targets targets        `json:"targets"`
	Query   jsontext.Value `json:"query"`
}

// readHead reads a query's headers and URL. Its error is a RequestError, whose text is sent to the client.
func (n *nameTable) readHead(r *http.Request, q *aggregator.Query) error {
	for name, values := range r.Header {
		if len(values) > 1 && strings.HasPrefix(name, "Req-") { // ambiguous: clients and servers differ on which value counts
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
	timeout, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" || !(timeout > 0) || timeout > maxTimeoutS {
		return malformed("Req-Deadline is not a time in seconds")
	}
	q.Timeout, q.Resent = timeout, r.Header.Get("Req-Retry") == "1"
	// An invalid key doesn't fail the query: keys only group queries that belong together.
	q.Key, err = strconv.ParseUint(r.URL.Query().Get("key"), 16, 64)
	q.HasKey = err == nil
	return nil
}

// readBody decodes the body of a query into its text and subqueries. Field names are case-sensitive and duplicate names are
// rejected, so that another JSON parser can't read a different query from the same bytes.
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
		subquery := aggregator.Subquery{Shard: policy.ShardID(*t.Partition), Weight: *t.Share, Hint: t.EstUs / 1e6}
		if t.Route != "" {
			if subquery.Key, err = strconv.ParseUint(t.Route, 16, 64); err != nil {
				return malformed("targets[%d].route is not 16 hex digits", i)
			}
			subquery.HasKey = true
		}
		q.Subqueries[i] = subquery
	}
	if math.Abs(sum-1) > shareSumTolerance {
		return malformed("the shares add up to %g and not to 1", sum)
	}
	return nil
}

// shareSumTolerance is the accepted difference between the sum of a query's shares and 1. Clients round each share to a few
// digits.
const shareSumTolerance = 0.01

// maxTimeoutS is the longest time in seconds that a request may state: one day. The bound keeps sums of times from overflowing.
const maxTimeoutS = 86400

// decodeString returns the text of a JSON string. Without escapes the result shares its memory with raw.
func decodeString(raw jsontext.Value) ([]byte, error) {
	if raw.Kind() != '"' {
		return nil, malformed("query is not a text")
	}
	if text := raw[1 : len(raw)-1]; bytes.IndexByte(text, '\\') < 0 {
		return text, nil
	}
	return jsontext.AppendUnquote(nil, raw)
}

// appendResults appends the body of an answer: the values of the answered subqueries, and whether the query is complete.
func appendResults(b []byte, q *aggregator.Query, complete bool) []byte {
	b = append(b, `{"whole":`...)
	b = strconv.AppendBool(b, complete)
	b = append(b, `,"results":[`...)
	first := true
	for i := range q.Subqueries {
		subquery := &q.Subqueries[i]
		if !subquery.Answered {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = append(b, `{"partition":`...)
		b = strconv.AppendInt(b, int64(subquery.Shard), 10)
		b = append(b, `,"value":`...)
		b = append(appendString(b, subquery.Value), '}')
	}
	return append(b, `]}`...)
}

// appendString appends text as a JSON string. It escapes only what JSON requires. text must be valid UTF-8, which is checked
// when a value is received from a backend.
func appendString(b, text []byte) []byte {
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

// formatRetryAfter formats s, in seconds, as the value of a Retry-After header, rounded up to milliseconds.
func formatRetryAfter(s float64) string {
	return strconv.FormatFloat(math.Ceil(s*1000)/1000, 'f', -1, 64)
}
