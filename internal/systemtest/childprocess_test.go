package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/coordinator"
	"puffinlink.example/puffinlink/internal/dataplane/agent"
	"puffinlink.example/puffinlink/internal/dataplane/proxy"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

// childSpecVariable is the environment variable with the childSpec of a process, as JSON.
const childSpecVariable = "PUFFINLINK_SYSTEMTEST_CHILD"

// childFailedMarker begins the line that a child process writes to standard error when it fails.
const childFailedMarker = "child process failed:"

// readyLine is written to standard output once a child process listens.
const readyLine = "ready"

// role is a kind of process.
type role string

const (
	coordinatorRole role = "coordinator"
	agentRole       role = "agent"
	proxyRole       role = "proxy"
)

// childSpec is what one process starts with. Its addresses are those at which it listens; others know those of the relays
// before it.
type childSpec struct {
	Role      role
	Settings  string // lines of a settings file
	Primary   string // internal calls of a coordinator or an agent; clients of a proxy
	Secondary string // operators of a coordinator; the proxy of an agent; readiness of a proxy
	Agent     string // of a proxy: its agent's address
}

// runChild runs one process of the system from its start to its exit code.
func runChild(text string) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := startChild(ctx, text); err != nil {
		fmt.Fprintln(os.Stderr, childFailedMarker, err)
		return 1
	}
	return 0
}

func startChild(ctx context.Context, text string) error {
	var spec childSpec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		return err
	}
	settings, err := nodesettings.Parse([]byte(spec.Settings))
	if err != nil {
		return err
	}
	configuration := zap.NewProductionConfig()
	configuration.Level.SetLevel(zap.DebugLevel)
	configuration.Sampling = nil
	configuration.EncoderConfig.EncodeTime = func(at time.Time, to zapcore.PrimitiveArrayEncoder) { to.AppendString(at.Format("15:04:05.000")) }
	log, err := configuration.Build()
	if err != nil {
		return err
	}
	primary, err := net.Listen("tcp", spec.Primary)
	if err != nil {
		return err
	}
	secondary, err := net.Listen("tcp", spec.Secondary)
	if err != nil {
		return err
	}
	runs := map[role]func(context.Context, childSpec, nodesettings.Settings, *zap.Logger, net.Listener, net.Listener) error{
		coordinatorRole: runCoordinator, agentRole: runAgent, proxyRole: runProxy,
	}
	return runs[spec.Role](ctx, spec, settings, log, primary, secondary)
}

func runCoordinator(ctx context.Context, _ childSpec, settings nodesettings.Settings, log *zap.Logger, internal, control net.Listener) error {
	core, err := coordinator.New(settings, log)
	if err != nil {
		return err
	}
	fmt.Println(readyLine)
	return core.Run(ctx, coordinator.Listeners{Internal: internal, Control: control})
}

// agentLinger is how long an agent serves on after it was asked to shut down, as its proxy needs it while it drains.
const agentLinger = 3500 * time.Millisecond

func runAgent(ctx context.Context, _ childSpec, settings nodesettings.Settings, log *zap.Logger, peers, local net.Listener) error {
	link := agent.New(agent.Config{
		Address: settings.InternalAddress(agentOffset), Seeds: settings.SeedInternalAddresses(), Caller: transport.NewClientFor(settings.Cluster), Logger: log,
	})
	self := transport.NewIdentity(settings.Cluster, settings.NodeName)
	peerMux, localMux := transport.NewMuxFor(self), transport.NewMuxFor(self)
	link.Mount(peerMux)
	link.MountLocal(localMux)
	go http.Serve(peers, peerMux)
	go http.Serve(local, localMux)
	fmt.Println(readyLine)
	lingering, stop := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(agentLinger, stop) })
	return link.Run(lingering)
}

func runProxy(ctx context.Context, spec childSpec, settings nodesettings.Settings, log *zap.Logger, front, readiness net.Listener) error {
	const mostConnections, mostBytes = 500, 16 << 20
	server := proxy.New(proxy.Config{
		AgentAddress: spec.Agent, Caller: transport.NewClientFor(settings.Cluster), BuildRouter: buildRouter, GracePeriod: settings.Bounds.GracePeriod,
		MaxConnections: mostConnections, MaxBodyBytes: mostBytes, Log: log,
	})
	fmt.Println(readyLine)
	server.Serve(ctx, front, readiness)
	return nil
}

// router adapts a table of the configuration for the proxy, as the program does.
type router struct{ table *configuration.RoutingTable }

func buildRouter(raw []byte) (proxy.Router, error) {
	parsed, err := configuration.Parse(raw)
	if err != nil {
		return nil, err
	}
	return router{configuration.NewRoutingTable(parsed)}, nil
}

// Match implements proxy.Router.
func (r router) Match(host, path string) (route proxy.Route, rest string, ok bool) {
	found, rest, ok := r.table.Match(host, path)
	if !ok {
		return proxy.Route{}, "", false
	}
	service, _ := r.table.Service(found.Service)
	queue := jobapi.Queue{
		Route: found.Name, Service: found.Service, Priority: found.Priority, MaxAttempts: found.MaxAttempts,
		Extension: found.Extension, TargetLatencyMS: found.TargetLatency().Milliseconds(), EnforcesCapacity: service.EnforcesCapacity,
	}
	return proxy.Route{Queue: queue, Timeout: found.Timeout()}, rest, true
}

// Services implements proxy.Router.
func (r router) Services() []string { return r.table.Services() }

// Limits implements proxy.Router.
func (r router) Limits() proxy.Limits {
	limits := r.table.Limits()
	return proxy.Limits{
		HeaderBytes: limits.MaxHeaderBytes, BodyBytes: int64(limits.MaxBodyBytes),
		HeaderTimeout: limits.HeaderTimeout(), IdleTimeout: limits.IdleTimeout(),
	}
}
