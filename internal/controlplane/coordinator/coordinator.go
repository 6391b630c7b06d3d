// Package coordinator creates a coordinator process, also called a core node, from its components, and runs it. The components
// are the durable store, the replicated control state, the operators' API, the feed for the data plane, and the schedulers
// of the groups that this node leads.
//
// The package connects the components, starts them and shuts them down. It is used by the command that starts a coordinator.
// It makes no decisions about jobs or replication.
package coordinator

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feedserver"
	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	configurationRegister = "configuration"
	commandsByInvocation  = "invocation" // the supported value of the setting commands

	inventoryPollInterval   = time.Second     // time between two polls of the platform's list of workers
	endedJobRetentionMargin = 3 * time.Minute // ended jobs are kept this much longer than clients may request their status
	registerTablePrefix     = register.TablePrefix
)

// errNoDataDirectory is returned if the settings have no data directory.
var errNoDataDirectory = errors.New("dataDirectory: missing: a coordinator needs a disk; run it on a class of machines that has one")

// errStoreFailed ends the process after its disk has failed to sync. It is then uncertain which writes are durable. A restarted
// process reads the state from the disk.
var errStoreFailed = errors.New("the store has failed; see the disk of the data directory")

// Listeners are the listening sockets of a coordinator. Run closes them.
type Listeners struct {
	Internal net.Listener // calls of other nodes
	Control  net.Listener // the operator's API
}

// Coordinator is a coordinator process. It is created by New or Open. Run may be called once.
type Coordinator struct {
	settings          nodesettings.Settings
	log               *zap.Logger
	caller            *transport.Client
	store             *storage.FileStore
	replicaSet        *replicaset.Manager
	rebuilder         *rebuild.Rebuilder
	replicationNode   *replication.Node
	configurator      *configuration.Configurator
	feedServer        *feedserver.Server
	jobManager        *manager.Manager
	workerConnections *workerclient.Connections
	workerHTTP        *http.Client // to workers; uses workerConnections
	platformHTTP      *http.Client // to the platform's list of workers
	mux               *transport.Mux
}

// New opens the store and creates the components of a coordinator. It serves no requests before Run is called.
func New(settings nodesettings.Settings, log *zap.Logger) (*Coordinator, error) {
	if settings.DataDirectory == "" {
		return nil, errNoDataDirectory
	}
	store, opened, err := storage.Open(storage.OSFileSystem{}, settings.DataDirectory, storeOptions(settings.Limits))
	if err != nil {
		return nil, fmt.Errorf("open the store in %s: %w", settings.DataDirectory, err)
	}
	log.Info("store opened", zap.Bool("empty", opened.Empty), zap.Int64("truncated_bytes", opened.TruncatedBytes))
	c := &Coordinator{
		settings: settings, log: log, store: store, caller: transport.NewClientFor(settings.Cluster),
		workerConnections: workerclient.NewConnections(workerLimits(&settings.Limits)), platformHTTP: newPlatformClient(),
		mux: transport.NewMuxFor(transport.NewIdentity(settings.Cluster, settings.NodeName)),
	}
	c.workerHTTP = c.workerConnections.HTTPClient()
	if err := c.assemble(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return c, nil
}
