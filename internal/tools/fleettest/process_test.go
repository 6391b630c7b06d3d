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

// operatorFile is an aggregator's operator's file: of its peers it knows the relays' addresses.
func (m *Aggregator) operatorFile() string {
	c := m.cluster
	var b strings.Builder
	fmt.Fprintf(&b, "{\n\"operators\": {\"listen\": \"unix:%s\"},\n", m.socket())
	if !c.NoFleet {
		directory := ""
		if m.index < c.Voters || c.DirectoryForAll {
			directory = fmt.Sprintf("\"directory\": %q, ", m.dir)
		}
		fmt.Fprintf(&b, "\"fleet\": {\"key_file\": %q, %s\"lease_s\": %g, \"version\": 1, \"mixers\": [\n", c.path("key"), directory, c.LeaseS)
		for _, o := range c.Aggregators {
			address := o.address
			if o.Name != m.Name {
				address = c.Link(m.index, o.index).Address()
			}
			fmt.Fprintf(&b, "  {\"name\": %q, \"address\": %q, \"location\": %q, \"votes\": %t},\n", o.Name, address, o.Zone, o.index < c.Voters)
		}
		b.WriteString("]},\n")
		if c.Quotas != "" {
			fmt.Fprintf(&b, "\"quotas\": %s,\n", c.Quotas)
		}
		if c.Contracts != "" {
			fmt.Fprintf(&b, "\"contracts\": %s,\n", c.Contracts)
		}
	}
	b.WriteString("}\n")
	return b.String()
}

func (m *Aggregator) socket() string { return filepath.Join(m.cluster.dir, m.Name+m.suffix+".s") }

// Start starts the process.
func (m *Aggregator) Start() {
	c := m.cluster
	c.Helper()
	config, file := c.path(m.Name+m.suffix+".json"), c.path(m.Name+m.suffix+".json5")
	c.must(os.WriteFile(config, c.Site.Config(m.Name, m.Listen, m.discovery, m.index), 0o600))
	c.must(os.WriteFile(file, []byte(m.operatorFile()), 0o600))
	tags := failpointsTag
	if c.WithoutFailpoints {
		tags = ""
	}
	m.log = c.path(m.Name + m.suffix + ".log")
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.must(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	binary := c.Binary
	if binary == "" {
		binary = Build(c.TB, tags)
	}
	m.cmd = exec.Command(binary, "serve", "--operator", file)
	m.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+config), m.env...)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	c.must(m.cmd.Start())
	m.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		out.Close()
		close(ended)
	}(m.cmd, m.ended)
}

// StartTwin starts a second process of the same name, address and directory, which listens elsewhere for clients.
func (m *Aggregator) StartTwin() *Aggregator {
	c := m.cluster
	c.Helper()
	t := &Aggregator{Name: m.Name, Zone: m.Zone, Listen: c.port(), cluster: c, index: m.index, suffix: "-2", address: m.address, discovery: m.discovery, backendRelays: m.backendRelays, dir: m.dir}
	t.Start()
	c.Cleanup(t.Kill)
	c.Await("the twin serves", t.isServing)
	return t
}

// Signal sends a signal to the process.
func (m *Aggregator) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (m *Aggregator) Kill() {
	m.Signal(syscall.SIGKILL)
	<-m.ended
}

// Ended reports whether the process has ended.
func (m *Aggregator) Ended() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// Stopped reports whether the process is paused, as after SIGSTOP.
func (m *Aggregator) Stopped() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
	i := bytes.LastIndexByte(text, ')')
	return err == nil && i >= 0 && i+2 < len(text) && text[i+2] == 'T'
}

// Restart kills the process and starts it anew, with an empty directory where that is lost.
func (m *Aggregator) Restart(lost bool) {
	m.cluster.Helper()
	m.Kill()
	if lost {
		m.cluster.must(os.RemoveAll(m.dir))
	}
	m.Start()
	m.cluster.Await(m.Name+" serves again", m.isServing)
}

// supervise keeps a fleet going as its machines would: who was killed starts again, who is paused resumes after 3 s.
func (c *Cluster) supervise() (stop func() (killed []*Aggregator)) {
	done := make(chan struct{})
	var all sync.WaitGroup
	var mu sync.Mutex
	var killed []*Aggregator
	for _, m := range c.Aggregators {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				switch {
				case m.Ended():
					mu.Lock()
					killed = append(killed, m)
					mu.Unlock()
					m.Arm()
					m.Start()
				case m.Stopped():
					time.Sleep(3 * time.Second)
					m.Signal(syscall.SIGCONT)
				}
			}
		})
	}
	return func() []*Aggregator { close(done); all.Wait(); return killed }
}

// Arm lets its next start have a point armed.
func (m *Aggregator) Arm(env ...string) { m.env = env }

func (m *Aggregator) isServing() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Listen+"/up", nil)
	res, err := m.cluster.client.Do(req)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
