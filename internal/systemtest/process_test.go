package systemtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout        = time.Minute      // until a process listens
	maxSuspendTime      = 2 * time.Second  // until a process is suspended
	suspendPollInterval = time.Millisecond // between two looks at its threads
)

// process is one process of the system, which can be ended and started again.
type process struct {
	name string // the names of its machine and role
	spec childSpec
	log  *os.File
	// otherBuild is the path of a program of another build to start; empty for this build. Such a process has no relays in
	// front of it. listenSettings holds its listen addresses as settings lines, and dialAddress is the address for callers.
	otherBuild, listenSettings, dialAddress string

	mu          sync.Mutex
	command     *exec.Cmd
	ended       chan struct{} // closed when the current command has exited
	endExpected bool          // the test ends the process itself
	failure     error         // the first unexpected exit
}

// start starts the process and waits until it listens.
func (p *process) start() error {
	command, err := p.newCommand()
	if err != nil {
		return err
	}
	command.Stderr = p.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended, p.endExpected = command, ended, false
	p.mu.Unlock()
	ready := make(chan struct{})
	go func() {
		if p.otherBuild != "" {
			go p.awaitListening(ready, ended)
			io.Copy(p.log, output)
		}
		lines := bufio.NewScanner(output)
		if lines.Scan() && lines.Text() == readyLine {
			close(ready)
		}
		for lines.Scan() {
		}
		p.wait(command, ended)
	}()
	select {
	case <-ready:
		return nil
	case <-ended:
		return fmt.Errorf("%s exited before it listened", p.name)
	case <-time.After(startTimeout):
		return fmt.Errorf("%s does not listen within the start timeout", p.name)
	}
}

// newCommand returns the command that starts the process.
func (p *process) newCommand() (*exec.Cmd, error) {
	if p.otherBuild != "" {
		return p.newOtherBuildCommand()
	}
	text, err := json.Marshal(p.spec)
	if err != nil {
		return nil, err
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childSpecVariable+"="+string(text), "GOMAXPROCS=2", "GORACE=halt_on_error=1")
	return command, nil
}

// wait waits until a command exits and records the exit as a failure if it was not expected.
func (p *process) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endExpected && p.failure == nil {
		p.failure = fmt.Errorf("%s exited unexpectedly: %v", p.name, err) //nolint:errorlint // err is nil if the exit code is 0
	}
	close(ended)
}

// signal sends a signal to the process if it has been started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.command.Process.Signal(signal)
	}
}

// awaitSuspended waits until no thread of the process runs, after a SIGSTOP. A thread that was running on a processor, or waits for one, goes on
// for a moment after the signal was sent. It gives up after maxSuspendTime, and returns at once if the process has ended.
func (p *process) awaitSuspended() {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil {
		return
	}
	for deadline := time.Now().Add(maxSuspendTime); time.Now().Before(deadline) && !isSuspended(command.Process.Pid); {
		time.Sleep(suspendPollInterval)
	}
}

// isSuspended reports whether each thread of a process has stopped or ended. The state follows the name in parentheses in a thread's stat file.
func isSuspended(processID int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", processID)) // the pattern is valid
	for _, path := range threads {
		content, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		_, state, _ := strings.Cut(string(content[bytes.LastIndexByte(content, ')')+1:]), " ")
		if !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") && !strings.HasPrefix(state, "X") {
			return false
		}
	}
	return true
}

// end sends the process a signal that ends it, and waits until it has exited.
func (p *process) end(signal syscall.Signal) {
	p.mu.Lock()
	if p.command == nil {
		p.mu.Unlock()
		return
	}
	p.endExpected = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(signal)
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command = nil
}

// terminate asks the process to shut down, kills it if it is running after the grace period, and waits until it has exited.
func (p *process) terminate(grace time.Duration) {
	force := time.AfterFunc(grace, func() { p.signal(syscall.SIGKILL) })
	defer force.Stop()
	p.end(syscall.SIGTERM)
}

// pid returns the process ID; 0 while the process is not running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// problem returns an error if the process exited unexpectedly or if its log shows a data race, a panic or a failure.
func (p *process) problem() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.ReadFile(p.log.Name())
	if err == nil {
		for _, marker := range []string{"WARNING: DATA RACE", "panic:", childFailedMarker} {
			if at := strings.Index(string(log), marker); at >= 0 {
				err = errors.Join(err, fmt.Errorf("%s: %s", p.name, string(log[at:min(at+3000, len(log))])))
			}
		}
	}
	return errors.Join(p.failure, err)
}
