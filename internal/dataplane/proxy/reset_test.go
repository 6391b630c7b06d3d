package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/transport/resettest"
)

// submissionCounter counts at a leader how often each job was submitted.
type submissionCounter struct {
	mutex       sync.Mutex
	submissions map[job.ID]int
}

func (h *submissionCounter) submit(_ context.Context, s jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.submissions[s.ID]++
	return jobapi.SubmitReply{}, nil
}

func (h *submissionCounter) count(number int) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.submissions[jobIDOf(number)]
}

// jobIDOf returns the job ID for a number.
func jobIDOf(number int) job.ID { return job.ID(fmt.Sprintf("%016x", number)) }

// TestResetClientConnectionSubmitsAtMostOnce resets a client's connection after each byte of a submission and of its
// answer. An incomplete submission must not reach the leader, and a lost answer must not lead to a second submission.
func TestResetClientConnectionSubmitsAtMostOnce(t *testing.T) {
	Convey("When a client's connection is reset", t, func() {
		counter := &submissionCounter{submissions: map[job.ID]int{}}
		leader := newFakeLeader(t)
		leader.submit = counter.submit
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		relay := resettest.New(t, strings.TrimPrefix(f.url, "http://"))
		number := 0
		send := func(direction resettest.Direction, after int) error {
			number++
			client := &http.Transport{}
			defer client.CloseIdleConnections()
			relay.ResetAt(direction, after)
			request, err := http.NewRequest(http.MethodPost, "http://"+relay.Address()+testPrefix+string(jobIDOf(number)), strings.NewReader(testJob))
			So(err, ShouldBeNil)
			answer, err := client.RoundTrip(request)
			if err != nil {
				return err
			}
			defer answer.Body.Close()
			_, err = io.ReadAll(answer.Body)
			return err
		}
		So(send(resettest.Requests, resettest.NoReset), ShouldBeNil)
		lengths := [2]int{relay.ForwardedBytes(resettest.Requests), relay.ForwardedBytes(resettest.Responses)}
		Convey("an incomplete job is not submitted, and a job whose answer is lost is submitted once", func() {
			wrong := 0
			for after := range lengths[resettest.Requests] {
				So(send(resettest.Requests, after), ShouldNotBeNil)
			}
			lastPartialRequest := number
			for after := range lengths[resettest.Responses] {
				So(send(resettest.Responses, after), ShouldNotBeNil)
				if counter.count(number) != 1 {
					wrong++
				}
			}
			So(send(resettest.Requests, resettest.NoReset), ShouldBeNil)
			for partial := 2; partial <= lastPartialRequest; partial++ {
				if counter.count(partial) != 0 {
					wrong++
				}
			}
			So(wrong, ShouldEqual, 0)
		})
	})
}

// TestConcurrentClientsReceiveTheirOwnAnswers reads many jobs concurrently, while some clients cancel their requests and
// some of the leader's answers time out. No client must receive the answer to another request.
func TestConcurrentClientsReceiveTheirOwnAnswers(t *testing.T) {
	Convey("Each answer is about the job that was asked for", t, func() {
		const clients, requestsEach = 12, 40
		leader := newFakeLeader(t)
		var statusCalls atomic.Int64
		leader.status = func(ctx context.Context, s jobapi.StatusRequest) (jobapi.StatusReply, error) {
			if statusCalls.Add(1)%16 == 0 { // no answer before the attempt's timeout
				return jobapi.StatusReply{}, leader.waitForCancel(ctx)
			}
			return jobapi.StatusReply{Known: true, State: jobState(string(s.ID))}, nil
		}
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		var wrong, right atomic.Int64
		var clientGroup sync.WaitGroup
		for client := range clients {
			random := rand.New(rand.NewPCG(uint64(client), 0))
			clientGroup.Go(func() {
				for request := range requestsEach {
					id := string(jobIDOf(client*requestsEach + request))
					ctx, cancel := context.WithCancel(context.Background())
					if random.IntN(3) == 0 {
						time.AfterFunc(time.Duration(random.IntN(900))*time.Microsecond, cancel)
					}
					text, err := f.get(ctx, testPrefix+id)
					switch {
					case err != nil:
					case strings.Contains(text, id):
						right.Add(1)
					default:
						wrong.Add(1)
					}
					cancel()
				}
			})
		}
		clientGroup.Wait()
		So(wrong.Load(), ShouldEqual, 0)
		So(right.Load(), ShouldBeGreaterThan, clients*requestsEach/2)
	})
}

// get reads a path. It returns an error if the client cancels the request.
func (f *fixture) get(ctx context.Context, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+path, nil)
	if err != nil {
		return "", err
	}
	answer, err := f.client.Do(request)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

// TestNodeReusingLeaderAddressDoesNotExecuteCalls replaces the leader by a process of another machine, which is not the
// leader, at the same address.
func TestNodeReusingLeaderAddressDoesNotExecuteCalls(t *testing.T) {
	Convey("A call for the leader is not executed by the other machine, and reaches the next leader", t, func() {
		leader, next := newFakeLeader(t).acceptSubmissions(), newFakeLeader(t).acceptSubmissions()
		f := newFixture(t, snapshotOf(configurationOf(60_000), leader.address(), 1))
		So(f.post().status, ShouldEqual, http.StatusOK)
		answers := leader.replace("another")
		replies := f.sendAsync(http.MethodPost, testPrefix+string(jobIDOf(7)), testJob)
		So(<-answers, ShouldEqual, http.StatusMisdirectedRequest)
		f.agent.change(func(s *feed.Snapshot) { s.Leaders[testGroup] = feed.Leader{Address: next.address(), Term: 2} })
		So((<-replies).status, ShouldEqual, http.StatusOK)
		So(next.callCount(), ShouldEqual, 1)
	})
}
