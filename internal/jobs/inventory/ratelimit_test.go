package inventory

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/virtualtime"
)

// pagedPlatform is an in-memory platform whose list has one worker per page.
type pagedPlatform struct {
	pageCount int
	calls     int
	rejects   func(call int, token string) bool // reports whether a call is rejected with status 429
}

// RoundTrip implements http.RoundTripper.
func (p *pagedPlatform) RoundTrip(request *http.Request) (*http.Response, error) {
	p.calls++
	token := request.URL.Query().Get("pageToken")
	if p.rejects(p.calls, token) {
		return newResponse(http.StatusTooManyRequests, ""), nil
	}
	number := 0
	if token != "" {
		fmt.Sscan(token, &number)
	}
	next := "null"
	if number+1 < p.pageCount {
		next = fmt.Sprintf(`"%d"`, number+1)
	}
	return newResponse(http.StatusOK, fmt.Sprintf(`{"instances":[{"identifier":"i-%d","address":"a:1"}],"nextPageToken":%s}`, number, next)), nil
}

func newResponse(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}}
}

func TestRateLimitedPageIsRequestedAgain(t *testing.T) {
	read := func(p *pagedPlatform) (count int, err error) {
		virtualtime.Test(t, func(t *testing.T) {
			reader := Reader{Address: "platform:1", RatePerSecond: 4, HTTP: &http.Client{Transport: p}}
			instances, _, readErr := reader.ReadAll(t.Context())
			count, err = len(instances), readErr
		})
		return count, err
	}
	Convey("If the platform rejects every second call, the list is read completely, and no page that was received is requested again", t, func() {
		p := &pagedPlatform{pageCount: 6, rejects: func(call int, _ string) bool { return call%2 == 0 }}
		count, err := read(p)
		So(err, ShouldBeNil)
		So(count, ShouldEqual, 6)
		So(p.calls, ShouldEqual, 11)
	})
	Convey("If a page is rejected each time, there is an error and no workers are returned", t, func() {
		p := &pagedPlatform{pageCount: 3, rejects: func(_ int, token string) bool { return token == "1" }}
		count, err := read(p)
		So(err, ShouldWrap, ErrRateLimited)
		So(count, ShouldEqual, 0)
		So(p.calls, ShouldBeLessThan, 30)
	})
	Convey("A rejected first page is not retried within the same read", t, func() {
		p := &pagedPlatform{pageCount: 3, rejects: func(int, string) bool { return true }}
		_, err := read(p)
		So(err, ShouldWrap, ErrRateLimited)
		So(p.calls, ShouldEqual, 1)
	})
}
