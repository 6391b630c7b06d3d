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

	"puffinlink.example/puffinlink/internal/controlplane/coordinator"
	"puffinlink.example/puffinlink/internal/dataplane/agent"
	"puffinlink.example/puffinlink/internal/dataplane/proxy"
	"puffinlink.example/puffinlink/internal/dataplane/proxy/routing"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

// childSpecVariable is the environment variable that holds the childSpec of a process as JSON.
const childSpecVariable = "PUFFINLINK_SYSTEMTEST_CHILD"

// childFailedMarker is the prefix of the line that a child process writes to standard error when it fails.
const childFailedMarker = "child process failed:"

// readyLine is the line that a child process writes to standard output once it is listening.
const readyLine = "ready"

// role is the role of a process in the system.
type role string

const (
	coordinatorRole role = "coordinator"
	agentRole       role = "agent"
	proxyRole       role = "proxy"
)

// childSpec holds the start parameters of a child process. Its addresses are those on which the process itself listens.
// Callers use the addresses of the relays in front of it.
type childSpec struct {
	Role      role
	Settings  string // content of the settings file
	Primary   string // address for internal calls (coordinator, agent) or for clients (proxy)
	Secondary string // address for operators (coordinator), for the local proxy (agent) or for readiness checks (proxy)
	Agent     string // address of the proxy's agent; empty for other roles
}

// runChild runs a child process until it receives SIGTERM or fails, and returns its exit code. The text is its childSpec as
// JSON.
func runChild(text string) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := runRole(ctx, text); err != nil {
		fmt.Fprintln(os.Stderr, childFailedMarker, err)
		return 1
	}
	return 0
}

// runRole parses the childSpec, opens the listeners and runs the role until the context ends.
func runRole(ctx context.Context, text string) error {
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

// agentShutdownDelay is how long an agent keeps serving after SIGTERM, because its proxy needs it while it drains.
const agentShutdownDelay = 3500 * time.Millisecond

func runAgent(ctx context.Context, _ childSpec, settings nodesettings.Settings, log *zap.Logger, peers, local net.Listener) error {
	localAgent := agent.New(agent.Config{
		Address: settings.InternalAddress(agentOffset), Seeds: settings.SeedInternalAddresses(), Caller: transport.NewClientFor(settings.Cluster), Logger: log,
	})
	self := transport.NewIdentity(settings.Cluster, settings.NodeName)
	peerMux, localMux := transport.NewMuxFor(self), transport.NewMuxFor(self)
	localAgent.Mount(peerMux)
	localAgent.MountLocal(localMux)
	go http.Serve(peers, peerMux)
	go http.Serve(local, localMux)
	fmt.Println(readyLine)
	lingering, stop := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(agentShutdownDelay, stop) })
	return localAgent.Run(lingering)
}

func runProxy(ctx context.Context, spec childSpec, settings nodesettings.Settings, log *zap.Logger, front, readiness net.Listener) error {
	const maxConnections, maxBodyBytes = 500, 16 << 20
	server := proxy.New(proxy.Config{
		AgentAddress: spec.Agent, Caller: transport.NewClientFor(settings.Cluster), BuildRouter: routing.Build, GracePeriod: settings.Bounds.GracePeriod,
		MaxConnections: maxConnections, MaxBodyBytes: maxBodyBytes, Log: log,
	})
	fmt.Println(readyLine)
	server.Serve(ctx, front, readiness)
	return nil
}
