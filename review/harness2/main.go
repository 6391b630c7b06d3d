// Command harness2 plays the cases of the second review: it starts the project's own programs as separate processes on loopback
// addresses, with stand-ins for clients, servers, the platform and the operator, and checks one rule.
//
// Usage: harness2 CASE PROGRAM RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it plays the same case without the disruption.
package main

import (
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	errUsage   = errors.New("usage: harness2 CASE PROGRAM RECORD")
	errTimeout = errors.New("not reached in time")
	errStatus  = errors.New("unexpected status")
	errNoPorts = errors.New("no free ports")
)

// play plays a case and returns what broke the rule.
type play func(s *system) (broken []string, err error)

var cases = map[string]struct {
	setup setup
	play  play
}{
	"moved":  {setup{services: []string{"alpha", "beta"}, workers: 3}, playMovedQueue},
	"cancel": {setup{services: []string{"alpha"}, workers: 3}, playCancelBeforeArrival},
	"nested": {setup{services: []string{"alpha"}, workers: 3}, playRemovedQueue},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record := &record{log: log.New(file, "", 0), start: time.Now()}
	code := playCase(os.Args[1], os.Args[2], record)
	if err := file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

func playCase(name, program string, record *record) int {
	chosen := cases[name]
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, with the disruption: %t", name, trouble)
	s := newSystem(program, chosen.setup, trouble, record)
	defer s.stop()
	stopOnSignal(s)
	broken, err := s.startAndPlay(chosen.play)
	if err != nil {
		record.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, line := range broken {
		record.printf("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.printf("held")
	fmt.Println("held")
	return exitHeld
}

// stopOnSignal ends the processes and the case when the case itself is ended by a signal.
func stopOnSignal(s *system) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		s.stop()
		os.Exit(exitNotRun)
	}()
}

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	log   *log.Logger
	start time.Time
}

func (r *record) printf(format string, values ...any) {
	r.log.Printf("%8.3f  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// since returns a time in seconds since the start of the case.
func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }
