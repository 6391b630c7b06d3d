package workerclient

import (
	"encoding/json"
	"reflect"
	"testing"
	"unicode/utf8"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"puffinlink.example/puffinlink/internal/goldentest"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

func TestAppendStringIsReversedByJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		var read string
		if err := json.Unmarshal(appendString(nil, text), &read); err != nil || read != text || !utf8.ValidString(read) {
			t.Fatalf("%q was decoded as %q: %v", text, read, err)
		}
	})
}

func TestRequestBodies(t *testing.T) {
	convey.Convey("Request bodies follow the protocol", t, func() {
		one := job.TaskID{Job: "5c0e7a21d94b36f8", Stage: 1, Index: 17}
		start := StartCommand{one, 2, "(text)", "00000bb87a21d94b"}
		convey.So(string(appendStart(nil, &start, 486000, 7)), convey.ShouldEqual, `{"task":"5c0e7a21d94b36f8.0.1.17",`+
			`"execution":2,"specification":"(text)","validUntilMs":486000,"fencingToken":7,"checkpointed":"00000bb87a21d94b"}`)
		start.Checkpoint = ""
		convey.So(string(appendStart(nil, &start, 1, 7)), convey.ShouldEndWith, `"fencingToken":7}`)
		convey.So(string(appendStop(nil, StopCommand{one, 2}, 7)), convey.ShouldEqual,
			`{"task":"5c0e7a21d94b36f8.0.1.17","execution":2,"fencingToken":7}`)
		convey.So(string(listRequest{7, 57, 1000, 486000}.append(nil)), convey.ShouldEqual,
			`{"fencingToken":7,"lastSeen":57,"waitMs":1000,"validUntilMs":486000}`)
		convey.So(string(listRequest{7, 0, 0, 0}.append(nil)), convey.ShouldEqual, `{"fencingToken":7,"lastSeen":0,"waitMs":0}`)
	})
}

func TestResponseBodies(t *testing.T) {
	convey.Convey("Given the response to a renewal", t, func() {
		r, err := decodeResponse([]byte(`{"clockMs":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41.6],` +
			` [ "5c0e7a21d94b36f8.0.1.18" , 1 , null , 0 ],["5c0e7a21d94b36f8.0.1.19",1,"a\\\",\u00fcb"]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],` +
			`[59,"no task",1,"failed","","more"]]}`))
		convey.So(err, convey.ShouldBeNil)
		convey.Convey("both lists are decoded", func() {
			convey.So(*r.ClockMS, convey.ShouldEqual, 482113)
			convey.So(r.Running[0].task, convey.ShouldResemble, RunningTask{
				job.TaskID{Job: "5c0e7a21d94b36f8", Stage: 1, Index: 17}, 2, "00000bb87a21d94b", 41})
			convey.So(r.Running[1].task.Checkpoint, convey.ShouldBeEmpty)
			convey.So(r.Running[1].task.AttemptNumber, convey.ShouldEqual, 1)
			convey.So(r.Running[2].task.Checkpoint, convey.ShouldEqual, "a\\\",\u00fcb")
			convey.So(r.Finished[0].task, convey.ShouldResemble, FinishedTask{
				58, job.TaskID{Job: "5c0e7a21d94b36f8", Stage: 1, Index: 9}, 1, job.OutcomeDone, ""})
		})
		convey.Convey("an entry whose task ID cannot be parsed is marked", func() {
			convey.So(r.Finished[0].taskIDErr, convey.ShouldBeNil)
			convey.So(r.Finished[1].taskIDErr, convey.ShouldNotBeNil)
		})
	})
	convey.Convey("A malformed response is an error", t, func() {
		for _, body := range []string{``, `{`, `[]`, `{"running":[["a","b"]]}`, `{"finished":[{}]}`,
			`{"finished":[["1","a",2]]}`, `{"finished":[[-1,"a",2]]}`, `{"running":[[1,2]]}`, `{"running":[["a",1.5]]}`} {
			_, err := decodeResponse([]byte(body))
			convey.So(err, convey.ShouldNotBeNil)
		}
	})
}

// TestWireConstants checks the constants that are part of the wire protocol.
func TestWireConstants(t *testing.T) {
	goldentest.CheckConstants(t,
		goldentest.Constant{Have: startPath, Want: "/-/run-start"},
		goldentest.Constant{Have: stopPath, Want: "/-/run-stop"},
		goldentest.Constant{Have: renewalPath, Want: "/-/hold"},
		goldentest.Constant{Have: reasonFencingToken, Want: "fence"},
		goldentest.Constant{Have: reasonStaleAttempt, Want: "old"},
		goldentest.Constant{Have: reasonLeaseExpired, Want: "late"},
		goldentest.Constant{Have: reasonCapacity, Want: "room"},
	)
}

// TestWireForms checks the JSON keys of a worker's response. This package only decodes it.
func TestWireForms(t *testing.T) {
	text := `{"clockMs":5,"reason":"fence","running":[["a.1.2.3",4,"text 1",50]],"finished":[[6,"b.7.8.9",10,"done","text 2"]]}`
	read, err := decodeResponse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	clock := int64(5)
	want := responseBody{
		ClockMS: &clock, Reason: reasonFencingToken,
		Running: []runningEntry{{task: RunningTask{
			Task: job.TaskID{Job: "a", Repetition: 1, Stage: 2, Index: 3}, AttemptNumber: 4, Checkpoint: "text 1", Percent: 50}}},
		Finished: []finishedEntry{{task: FinishedTask{
			CompletionNumber: 6, Task: job.TaskID{Job: "b", Repetition: 7, Stage: 8, Index: 9}, AttemptNumber: 10, Outcome: job.OutcomeDone, Checkpoint: "text 2"}}},
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("decoded as %+v, want %+v", read, want)
	}
}
