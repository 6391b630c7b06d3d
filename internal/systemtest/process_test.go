package systemtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTimeout bounds the start of a process.
const startTimeout = time.Minute

// process is one process of the system, which may be ended and started again.
type process struct {
	name string // of its machine and its role
	spec childSpec
	log  *os.File
	// otherBuild is a program of another build that is started in place of this one; empty for this build. It has no relays
	// before it: listenSettings tell it where to listen, and dialAddress is where callers find it.
	otherBuild, listenSettings, dialAddress string

	mu          sync.Mutex
	command     *exec.Cmd
	ended       chan struct{} // closed when the present one has ended
	endExpected bool          // its end was wanted
	failure     error         // an end that was not
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
		return fmt.Errorf("%s ended before it listened", p.name)
	case <-time.After(startTimeout):
		return fmt.Errorf("%s does not listen", p.name)
	}
}

// newCommand is the command that starts the process.
func (p *process) newCommand() (*exec.Cmd, error) {
	if p.otherBuild != "" {
		return p.newOtherCommand()
	}
	text, err := json.Marshal(p.spec)
	if err != nil {
		return nil, err
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childSpecVariable+"="+string(text), "GOMAXPROCS=2", "GORACE=halt_on_error=1")
	return command, nil
}

func (p *process) wait(command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endExpected && p.failure == nil {
		p.failure = fmt.Errorf("%s ended by itself: %v", p.name, err) //nolint:errorlint // nil where it ended with 0
	}
	close(ended)
}

// signal sends a signal to the process if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.command.Process.Signal(signal)
	}
}

// end ends the process by a signal and waits for that.
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

// terminate asks the process to shut down, kills it after a grace period, and waits for its end.
func (p *process) terminate(grace time.Duration) {
	force := time.AfterFunc(grace, func() { p.signal(syscall.SIGKILL) })
	defer force.Stop()
	p.end(syscall.SIGTERM)
}

// pid is the process's number; 0 while there is none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// problem is an end by itself, or a data race that the detector has found.
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
