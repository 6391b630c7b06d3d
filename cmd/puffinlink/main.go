// Command puffinlink is a mixer.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"puffinlink.example/puffinlink/internal/clients"
	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/list"
	"puffinlink.example/puffinlink/internal/mixer"
	"puffinlink.example/puffinlink/internal/searchers"
	"puffinlink.example/puffinlink/internal/settings"
)

const (
	// heapShare of the memory limit is the soft limit of Go's heap: stacks, the kernel's part and files come on top.
	heapShare = 0.6
	// growth lets the heap grow to so many percent beyond what lives, as what lives is small: fewer collections.
	growth = 400
	// Shares of the descriptors: clients' lines, searchers' lines; the rest is for the register, the listener, the
	// log and what Go itself opens.
	clientShare   = 0.6
	searcherShare = 0.3
	// overlap is how long the process before may still hold the address: the longest that a stopping mixer takes.
	overlap = 10 * time.Second
	// logLines may wait for whoever reads the log: those of all lines that a mixer may have, ending at once.
	logLines = 1024
)

// config is what a mixer is told.
type config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "puffinlink:", err)
		os.Exit(1)
	}
}

// read takes the config file and, over it, what the environment says by itself.
func read(env func(string) string) (c config, set settings.Settings, err error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return c, set, errors.New("LB_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, set, err
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, set, fmt.Errorf("config: %w", err)
	}
	for name, field := range map[string]*string{"LB_NAME": &c.Name, "LB_LISTEN": &c.Listen, "LB_DISCOVERY": &c.Discovery} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	switch {
	case err != nil:
		return c, set, fmt.Errorf("config: seed %q is not hex", c.Seed)
	case c.Listen == "" || c.Discovery == "":
		return c, set, errors.New("config: listen and discovery must be stated")
	case len(c.Known) == 0:
		return c, set, errors.New("config: known must be stated")
	case c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0:
		return c, set, errors.New("config: limits must be 0 or more")
	}
	if set, err = settings.Read(seed, c.Settings); err != nil {
		return c, set, fmt.Errorf("config: %w", err)
	}
	for i, x := range set.Indexes {
		if x.SecondStep > 0 {
			return c, set, fmt.Errorf("config: index %q has a second step, which this protocol has no form for", set.Net.Indexes[i])
		}
	}
	return c, set, nil
}

// limit keeps Go within the machine's share, and tells how many lines clients and searchers may have, and in how
// many bytes altogether.
func limit(c config) (clientLines, searcherLines, memory int) {
	clientLines, searcherLines, memory = math.MaxInt32, math.MaxInt32, math.MaxInt32
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Floor(c.Limits.Cores))))
	}
	if c.Limits.MemoryMB > 0 {
		memory = int(c.Limits.MemoryMB * (1 << 20))
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
		debug.SetGCPercent(growth)
	}
	if c.Limits.Sockets > 0 {
		clientLines = max(1, int(clientShare*float64(c.Limits.Sockets)))
		searcherLines = max(1, int(searcherShare*float64(c.Limits.Sockets)))
	}
	return clientLines, searcherLines, memory
}

// listen waits a while for an address in use: a restart may overlap with the end of the process before it.
func listen(address *net.TCPAddr) (l *net.TCPListener, err error) {
	for until := time.Now().Add(overlap); ; time.Sleep(overlap / 100) {
		l, err = net.ListenTCP("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return l, err
		}
	}
}

// reload reads the config file anew. All of it has to be valid, but only discovery changes under a running mixer.
// LB_DISCOVERY stands over the file at the start alone: a new file is meant to change it.
func reload(register *list.Register) error {
	c, _, err := read(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return os.Getenv(name)
	})
	if err != nil {
		return err
	}
	if err := register.MoveTo(c.Discovery); err != nil {
		return fmt.Errorf("config: discovery: %w", err)
	}
	return nil
}

func run() error {
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	c, set, err := read(os.Getenv)
	if err != nil {
		return err
	}
	clientLines, searcherLines, memory := limit(c)
	// Whoever reads the log must not hold up the mixer: lines that find no room are dropped and counted. Its writer would
	// close standard output if it could.
	count := counters.New()
	out := diode.NewWriter(struct{ io.Writer }{os.Stdout}, logLines, 0, func(missed int) { count.Add("log", "dropped", int64(missed)) })
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Str("mixer", c.Name).Logger()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs

	m := mixer.New(set, log, count)
	register, err := list.New(c.Discovery, c.Known, set, m.In, log, count)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	address, err := net.ResolveTCPAddr("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("config: listen: %w", err)
	}
	listener, err := listen(address)
	if err != nil {
		return err
	}
	fleet := searchers.New(set.Net, searcherLines, m.In, log, count)
	server := clients.New(set, clientLines, memory, m.In, log, count)
	go m.Run(fleet, register)
	go register.Run()
	server.Serve(listener)
	log.Info().Str("listen", c.Listen).Msg("started")
	drained := make(chan struct{})
	drain := sync.OnceFunc(func() { go func() { server.Drain(); close(drained) }() })
	for on := true; on; { // while it drains too: drains of searchers are still to be kept, wherever the register is
		select {
		case s := <-signals:
			switch s {
			case syscall.SIGUSR1:
				log.Info().EmbedObject(count).Msg("counters")
			case syscall.SIGHUP:
				if err := reload(register); err != nil {
					log.Error().Str("text", err.Error()).Msg("config not taken, all stays as it is")
				} else {
					log.Info().Msg("config taken")
				}
			default:
				drain()
			}
		case <-drained:
			on = false
		}
	}
	register.Stop()
	m.Stop()
	fleet.Stop()
	log.Info().EmbedObject(count).Msg("counters")
	return nil
}
