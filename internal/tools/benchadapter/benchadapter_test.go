package benchadapter

import (
	"strings"
	"testing"
)

const spawnSettings = `{"granularityS":0.005,"requestClasses":[{"effect":"repeatable","promiseS":1,"giveUpS":4,"worth":1,` +
	`"lateWorth":0.1}],"specifics":{"places":1,"width":1,"classNeed":[1]},"limits":{"mostTries":2},"unknown":7}`

// spawnBatch starts instance 3 with a list of two backends. The list's number is reused in the same batch, which must not
// change the list that the earlier event refers to.
const spawnBatch = "TICK 8 1\nON 3\nSPAWN 42 " + spawnSettings + "\nPAGE 0 2\nROW 51 0 0 0 ready 1 -\n" +
	"ROW 4294967295 1 0 0 ready 1.5 6.1\nBACKENDS_CHANGED 0 41 stale_copy\nPAGE 0 0\nEND\n"

func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestQueryIsSentAndAnswered(t *testing.T) {
	in := spawnBatch +
		"TICK 8.01 2\nON 3\nREQUEST 4503599627370495 0 - - 4 - 9 -1 1 0 0\nREQUEST 7 0 - - 4 - 9 0 1 - 0\nEND\n" +
		"TICK 8.02 3\nEND\n"
	out, err := serve(in)
	if err != nil {
		t.Fatal(err)
	}
	replies := strings.SplitAfter(out, "ACK 2\n")
	if len(replies) != 2 || replies[1] != "ACK 3\n" || !strings.Contains(replies[0], "ACK 1\nBY 3\nSEND 7 ") {
		t.Fatalf("got %q", out)
	}
	sent := replies[0][strings.Index(replies[0], "SEND 7 ")+7:]
	backend := sent[:strings.IndexByte(sent, ' ')]
	if backend != "51" && backend != "4294967295" {
		t.Fatalf("sent to %q", backend)
	}
	out, err = serve(in + "TICK 8.1 4\nON 3\nATTEMPT_END 7 0 " + backend + " delivered 0.09 1 pending:2,new_name:1\nEND\n")
	if err != nil || !strings.HasSuffix(out, "BY 3\nWRAP_UP 4503599627370495 1\nACK 4\n") {
		t.Fatalf("got %v, %q", err, out)
	}
}

func TestHaltDiscardsEarlierEventsOfTheBatch(t *testing.T) {
	out, err := serve(spawnBatch + "TICK 9 2\nON 3\nREQUEST 8 0 0 - 4 - 1 -1 1 0 0\nHALT\nSPAWN 1 " + spawnSettings + "\nEND\n")
	if err != nil || strings.Contains(out, " 8 ") || !strings.HasSuffix(out, "ACK 2\n") {
		t.Fatalf("got %v, %q", err, out)
	}
}

func TestBadInputNamesLineAndExpectation(t *testing.T) {
	for in, want := range map[string]string{
		"TOCK 1 1\n":                        "line 1: expected TICK",
		"TICK x 1\nEND\n":                   "line 1: clock: expected a number",
		"TICK 1 1\nON 3\nTICK_DUE 1\nEND\n": "line 3: expected SPAWN for instance 3",
		"TICK 1 1\n":                        "found the end of input",
		"TICK 1 1\nEN":                      "expected a line end",
		spawnBatch + "TICK 9 2\nON 3\nWHAT 1\nEND\n":                              `line 12: unknown message "WHAT"`,
		spawnBatch + "TICK 9 2\nON 3\nTICK_DUE\nEND\n":                            "line 12: ctx: expected a value",
		spawnBatch + "TICK 9 2\nON 3\nREQUEST 8 0 0 - 4 - 1 -1 1 0 0 5\nEND\n":    "expected no further value",
		spawnBatch + "TICK 9 2\nON 3\nBACKENDS_CHANGED 16 1 whole\nEND\n":         "setId: expected 0 to 15",
		spawnBatch + "TICK 9 2\nON 3\nPING_RESULT 0.1 fine 51 -\nEND\n":           "status: expected an outcome",
		"TICK 1 1\nON 1\nSPAWN 1 {\nEND\n":                                        "settings: expected a JSON object",
		"TICK 1 1\nON 1\nSPAWN 1 {\"invariants\":{\"coldShare\":1.5}}\nEND\n":     "coldShare is 1.5, expected a share",
		"TICK 1 1\nON 1\nSPAWN 1 {\"invariants\":{\"coldS\":-1}}\nEND\n":          "coldS is -1, expected 0 or more",
		"TICK 1 1\nON 1\nSPAWN 1 {\"specifics\":{\"classNeed\":[1,1]}}\nEND\n":    "classNeed has 2 figures",
		"TICK 1 1\nON 1\nSPAWN 1 {\"requestClasses\":[{\"effect\":\"\"}]}\nEND\n": "expected repeatable, by_key or once",
	} {
		if _, err := serve(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, expected %q", in, err, want)
		}
	}
}

func TestPanicIsReportedAsPanicLine(t *testing.T) {
	out, err := serve(spawnBatch + "TICK 9 2\nON 3\nREQUEST 8 5 0 - 4 - 1 -1 1 0 0\nEND\n")
	if err != nil || !strings.Contains(out, "BY 3\nPANIC ") || !strings.HasSuffix(out, "ACK 2\n") {
		t.Fatalf("got %v, %q", err, out)
	}
}
