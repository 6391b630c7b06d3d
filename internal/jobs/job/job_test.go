package job

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func TestParseSpecificationDecodesAndValidates(t *testing.T) {
	Convey("All fields of a complete specification are decoded", t, func() {
		s, err := ParseSpecification([]byte(`{"specification":"text","stages":[{"count":4,"processors":500,"memoryRequestMb":256,
			"estimatedDurationMs":900,"affinity":"r1-3","requirements":"a"},{"count":20,"accelerators":2,"dependsOn":[0],"checkpoints":true,
			"gangScheduled":true,"sameRack":true,"antiAffinity":3}],"repetitions":3,"firstRunMs":1700000000000,"intervalMs":500,"other":1}`))
		So(err, ShouldBeNil)
		So(s.RepetitionCount(), ShouldEqual, 3)
		So(s.Stages[0].Requirements, ShouldResemble, Labels{"a"})
		So(s.Stages[0].Resources, ShouldResemble, Resources{Processors: 500, MemoryMB: 256})
		So(s.Stages[1].DependsOn, ShouldResemble, []int{0})
		So(s.Stages[1].GangScheduled && s.Stages[1].SameRack && s.Stages[1].Checkpoints, ShouldBeTrue)
		Convey("and a MessagePack round trip preserves it", func() {
			body, err := msgpack.Marshal(s)
			So(err, ShouldBeNil)
			var decoded Specification
			So(msgpack.Unmarshal(body, &decoded), ShouldBeNil)
			So(decoded, ShouldResemble, s)
		})
	})
	Convey("The error for an invalid body names the invalid field", t, func() {
		for body, wantText := range map[string]string{
			`{"stages":[{"count":1}`:                                "job:",
			`{"stages":[]}`:                                         "stages: 0",
			`{"stages":[{"count":0}]}`:                              "stages[0].count",
			`{"stages":[{"count":1,"dependsOn":[0]}]}`:              "stages[0].dependsOn",
			`{"stages":[{"count":1,"processors":-1}]}`:              "stages[0]: a request below 0",
			`{"stages":[{"count":100001}]}`:                         "over 100000 tasks",
			`{"stages":[{"count":1}],"repetitions":-1}`:             "repetitions: -1",
			`{"stages":[{"count":1,"requirements":{"no":"list"}}]}`: "labels:",
		} {
			_, err := ParseSpecification([]byte(body))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, wantText)
		}
	})
}

func TestSpecificationErrorNamesTheField(t *testing.T) {
	Convey("The error for an invalid specification is a SpecificationError with the field's name", t, func() {
		_, err := ParseSpecification([]byte(`{"stages":[{"count":1},{"count":1,"dependsOn":[1]}]}`))
		var specificationError *SpecificationError
		So(errors.As(err, &specificationError), ShouldBeTrue)
		So(specificationError.Field, ShouldEqual, "stages[1].dependsOn")
		So(err.Error(), ShouldEqual, "stages[1].dependsOn: 1 is not an earlier stage")
	})
}

func TestMalformedTaskAndJobIDsAreRejected(t *testing.T) {
	Convey("Parsing the wire format of a task ID returns the task ID", t, func() {
		id := TaskID{Job: "5c0e7a21d94b36f8", Repetition: 2, Stage: 1, Index: 17}
		parsed, err := ParseTaskID(id.String())
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, id)
	})
	Convey("Malformed task IDs are rejected", t, func() {
		for _, text := range []string{"", "5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.-1", "5c0e7a21d94b36f8.0.1.x", "a.0.1.2.3"} {
			_, err := ParseTaskID(text)
			So(err, ShouldWrap, ErrInvalidTaskID)
		}
	})
	Convey("A job ID is valid only if it has 16 hexadecimal digits", t, func() {
		So(ID("5c0e7a21d94b36f8").Valid(), ShouldBeTrue)
		So(ID("5c0e7a21d94b36f").Valid(), ShouldBeFalse)
		So(ID("5c0e7a21d94b36fg").Valid(), ShouldBeFalse)
	})
}

func TestRequestFitsOnlyIfEachResourceFits(t *testing.T) {
	Convey("Given the capacity of a worker, a request fits only if each of its resources does", t, func() {
		capacity := Resources{Processors: 1000, MemoryMB: 600, Accelerators: 1}
		So(capacity.Fits(Resources{Processors: 1000, MemoryMB: 600, Accelerators: 1}), ShouldBeTrue)
		So(capacity.Fits(Resources{Accelerators: 2}), ShouldBeFalse)
		So(capacity.FitCount(Resources{Processors: 300, MemoryMB: 300}), ShouldEqual, 2)
		So(capacity.Subtract(capacity), ShouldResemble, Resources{})
		So(capacity.Times(3), ShouldResemble, capacity.Add(capacity).Add(capacity))
	})
}

// FuzzParseSpecification checks that no body causes a panic, and that each accepted specification satisfies the conditions
// that the scheduler relies on.
func FuzzParseSpecification(f *testing.F) {
	f.Add([]byte(`{"specification":"text","stages":[{"count":2,"requirements":["a","b"]},{"count":1,"dependsOn":[0]}],"repetitions":2}`))
	f.Add([]byte(`{"stages":[{"count":1e3}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSpecification(body)
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("the error has an empty text")
			}
			return
		}
		for number, stage := range s.Stages {
			if stage.Count < 1 || stage.Processors < 0 {
				t.Fatalf("invalid stage %d was accepted: %+v", number, stage)
			}
			for _, earlier := range stage.DependsOn {
				if earlier >= number {
					t.Fatalf("accepted stage %d depends on stage %d, which is not earlier", number, earlier)
				}
			}
		}
	})
}
