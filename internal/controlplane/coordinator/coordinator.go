// Package coordinator assembles a core node: the durable store, the replicated control state, the operators' API, the feed for the
// data plane, and the schedulers of the groups that this node leads. It wires them and owns their lifetimes; it decides nothing.
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
	commandsByInvocation  = "invocation" // value of the settings key commands

	inventoryPollInterval = time.Second     // between polls of the platform's list
	completedJobMargin    = 3 * time.Minute // completed jobs are kept for longer than clients may ask for them
	registerTables        = register.TablePrefix
)

// errNoDisk is the error of settings without a data directory.
var errNoDisk = errors.New("dataDirectory: missing: a coordinator needs a disk; run it on a class of machines that has one")

// errStoreFailed ends a process whose disk failed to sync, so that what is durable is uncertain. After a restart it reads what the
// disk has.
var errStoreFailed = errors.New("the store has failed; see the disk of the data directory")

// Listeners are the sockets that a coordinator serves. Run closes them.
type Listeners struct {
	Internal net.Listener // calls of other nodes
	Control  net.Listener // the operator's API
}

// Coordinator is one core node. It is made by New or Open and runs once, by Run.
type Coordinator struct {
	settings     nodesettings.Settings
	log          *zap.Logger
	caller       *transport.Client
	store        *storage.FileStore
	replicas     *replicaset.Manager
	rebuilder    *rebuild.Rebuilder
	node         *replication.Node
	configurator *configuration.Configurator
	feed         *feedserver.Server
	jobs         *manager.Manager
	workers      *workerclient.Connections
	workerHTTP   *http.Client // to workers, on connections of workers
	platformHTTP *http.Client // to the platform's list of workers
	mux          *transport.Mux
}

// New opens the store and makes the components of a coordinator. Nothing is served until Run.
func New(settings nodesettings.Settings, log *zap.Logger) (*Coordinator, error) {
	if settings.DataDirectory == "" {
		return nil, errNoDisk
	}
	store, opened, err := storage.Open(storage.OSFileSystem{}, settings.DataDirectory, storeOptions(settings.Limits))
	if err != nil {
		return nil, fmt.Errorf("open the store in %s: %w", settings.DataDirectory, err)
	}
	log.Info("store opened", zap.Bool("empty", opened.Empty), zap.Int64("truncated_bytes", opened.TruncatedBytes))
	c := &Coordinator{
		settings: settings, log: log, store: store, caller: transport.NewClientFor(settings.Cluster),
		workers: workerclient.NewConnections(workerLimits(&settings.Limits)), platformHTTP: newPlatformClient(),
		mux: transport.NewMuxFor(transport.NewIdentity(settings.Cluster, settings.NodeName)),
	}
	c.workerHTTP = c.workers.HTTPClient()
	if err := c.assemble(); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	return c, nil
}
