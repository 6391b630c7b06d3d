package fleettest

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// operatorFileJSON returns the content of the aggregator's operator file. It names the relays' addresses as the addresses of peers.
func (a *Aggregator) operatorFileJSON() string {
	c := a.cluster
	var b strings.Builder
	fmt.Fprintf(&b, "{\n\"operators\": {\"listen\": \"unix:%s\"},\n", a.socketPath())
	if !c.NoFleet {
		directory := ""
		if a.index < c.Voters || c.DirectoryForAll {
			directory = fmt.Sprintf("\"directory\": %q, ", a.directory)
		}
		fmt.Fprintf(&b, "\"fleet\": {\"key_file\": %q, %s\"lease_s\": %g, \"version\": 1, \"mixers\": [\n", c.path("key"), directory, c.LeaseSeconds)
		for _, peer := range c.Aggregators {
			address := peer.fleetAddress
			if peer.Name != a.Name {
				address = c.LinkRelay(a.index, peer.index).Address()
			}
			fmt.Fprintf(&b, "  {\"name\": %q, \"address\": %q, \"location\": %q, \"votes\": %t},\n", peer.Name, address, peer.Zone, peer.index < c.Voters)
		}
		b.WriteString("]},\n")
		if c.QuotasJSON != "" {
			fmt.Fprintf(&b, "\"quotas\": %s,\n", c.QuotasJSON)
		}
		if c.ContractsJSON != "" {
			fmt.Fprintf(&b, "\"contracts\": %s,\n", c.ContractsJSON)
		}
	}
	b.WriteString("}\n")
	return b.String()
}

// socketPath returns the path of the Unix socket for operators.
func (a *Aggregator) socketPath() string { return filepath.Join(a.cluster.dir, a.Name+a.suffix+".s") }

// Start writes the configuration of the process and starts it, without waiting until it serves.
func (a *Aggregator) Start() {
	c := a.cluster
	c.Helper()
	configPath, operatorFilePath := c.path(a.Name+a.suffix+".json"), c.path(a.Name+a.suffix+".json5")
	c.must(os.WriteFile(configPath, c.Site.Config(a.Name, a.ClientAddress, a.discovery, a.index), 0o600))
	c.must(os.WriteFile(operatorFilePath, []byte(a.operatorFileJSON()), 0o600))
	tags := failpointsTag
	if c.WithoutFailpoints {
		tags = ""
	}
	a.logPath = c.path(a.Name + a.suffix + ".log")
	logFile, err := os.OpenFile(a.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.must(err)
	a.mu.Lock()
	defer a.mu.Unlock()
	binary := c.Binary
	if binary == "" {
		binary = BinaryPath(c.TB, tags)
	}
	a.command = exec.Command(binary, "serve", "--operator", operatorFilePath)
	a.command.Env = append(append(os.Environ(), "LB_CONFIG="+configPath), a.env...)
	a.command.Stdout, a.command.Stderr = logFile, logFile
	c.must(a.command.Start())
	a.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		logFile.Close()
		close(ended)
	}(a.command, a.ended)
}

// StartDuplicate starts a second process with the same name, fleet address and directory, and waits until it serves. It listens for
// clients on another address.
func (a *Aggregator) StartDuplicate() *Aggregator {
	c := a.cluster
	c.Helper()
	duplicate := &Aggregator{Name: a.Name, Zone: a.Zone, ClientAddress: c.freeAddress(), cluster: c, index: a.index, suffix: "-2", fleetAddress: a.fleetAddress, discovery: a.discovery, backendRelays: a.backendRelays, directory: a.directory}
	duplicate.Start()
	c.Cleanup(duplicate.Kill)
	c.Await("the duplicate serves", duplicate.isServing)
	return duplicate
}

// Signal sends a signal to the process.
func (a *Aggregator) Signal(s syscall.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.command.Process.Signal(s)
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (a *Aggregator) Kill() {
	a.Signal(syscall.SIGKILL)
	<-a.ended
}

// Ended reports whether the process has ended.
func (a *Aggregator) Ended() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}

// Stopped reports whether the process is paused, as after SIGSTOP.
func (a *Aggregator) Stopped() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", a.command.Process.Pid))
	i := bytes.LastIndexByte(text, ')')
	return err == nil && i >= 0 && i+2 < len(text) && text[i+2] == 'T'
}

// Restart kills the process, starts it again and waits until it serves. If directoryLost is true, it starts with an empty directory.
func (a *Aggregator) Restart(directoryLost bool) {
	a.cluster.Helper()
	a.Kill()
	if directoryLost {
		a.cluster.must(os.RemoveAll(a.directory))
	}
	a.Start()
	a.cluster.Await(a.Name+" serves again", a.isServing)
}

// supervise acts as the process supervisor of the fleet. It restarts processes that ended, without failpoints, and resumes stopped
// processes after 3 s. stop ends the supervision and returns the aggregators that were restarted.
func (c *Cluster) supervise() (stop func() (killed []*Aggregator)) {
	done := make(chan struct{})
	var waitGroup sync.WaitGroup
	var mu sync.Mutex
	var killed []*Aggregator
	for _, aggregator := range c.Aggregators {
		waitGroup.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				switch {
				case aggregator.Ended():
					mu.Lock()
					killed = append(killed, aggregator)
					mu.Unlock()
					aggregator.SetEnv()
					aggregator.Start()
				case aggregator.Stopped():
					time.Sleep(3 * time.Second)
					aggregator.Signal(syscall.SIGCONT)
				}
			}
		})
	}
	return func() []*Aggregator { close(done); waitGroup.Wait(); return killed }
}

// SetEnv sets the additional environment variables of the next start of the process, such as those that arm a failpoint.
func (a *Aggregator) SetEnv(env ...string) { a.env = env }

// isServing reports whether the aggregator answers its health check with status 200.
func (a *Aggregator) isServing() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.ClientAddress+"/up", nil)
	res, err := a.cluster.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
