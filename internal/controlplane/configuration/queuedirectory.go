package configuration

import (
	"fmt"
	"slices"

	"github.com/go-json-experiment/json"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// QueueDirectory says for one version of the configuration which service each queue belongs to, and which ones it belonged to before. It
// is immutable and safe for concurrent use.
type QueueDirectory struct {
	version   uint64
	services  map[queuekey.Key]string // of the queues that have a route
	histories map[queuekey.Key]QueueHistory
	names     []string // services of the configuration, sorted
}

// queueList is the part of a configuration that a QueueDirectory needs. It is not validated, since the configuration was validated when
// it was applied.
type queueList struct {
	Routes []struct {
		Host       string `json:"host"`
		PathPrefix string `json:"pathPrefix"`
		Service    string `json:"service"`
	} `json:"routes"`
	Services []struct {
		Name string `json:"name"`
	} `json:"services"`
}

// NewQueueDirectory returns the directory of a committed state. Before the first configuration it is empty. It returns an error if the
// configuration cannot be read.
func NewQueueDirectory(state State) (*QueueDirectory, error) {
	directory := &QueueDirectory{version: state.Version, histories: make(map[queuekey.Key]QueueHistory, len(state.Queues))}
	for _, history := range state.Queues {
		directory.histories[history.Queue] = history
	}
	if len(state.Body) == 0 {
		return directory, nil
	}
	var list queueList
	if err := json.Unmarshal(state.Body, &list); err != nil {
		return nil, fmt.Errorf("queues of version %d: %w", state.Version, err)
	}
	directory.services = make(map[queuekey.Key]string, len(list.Routes))
	for _, route := range list.Routes {
		directory.services[queuekey.Of(route.Host, route.PathPrefix)] = route.Service
	}
	for _, service := range list.Services {
		directory.names = append(directory.names, service.Name)
	}
	slices.Sort(directory.names)
	return directory, nil
}

// servicesByQueue returns the service of each route's queue.
func servicesByQueue(routes []Route) map[queuekey.Key]string {
	services := make(map[queuekey.Key]string, len(routes))
	for _, route := range routes {
		services[route.QueueKey()] = route.Service
	}
	return services
}

// Version returns the version of the configuration; 0 before the first.
func (d *QueueDirectory) Version() uint64 { return d.version }

// Latest returns the latest tenure of a queue by a service, which is the present one if it has not ended. Found is false if the service
// has not had the queue, as far as the history tells.
func (d *QueueDirectory) Latest(queue queuekey.Key, service string) (latest Tenure, found bool) {
	history := d.histories[queue]
	if d.services[queue] == service && service != "" {
		return Tenure{Service: service, Since: history.Since}, true
	}
	for _, tenure := range history.Earlier {
		if tenure.Service == service {
			return tenure, true
		}
	}
	return Tenure{}, false
}

// Others returns the latest tenures of all other services that have or had a queue. A queue that was never moved has none.
func (d *QueueDirectory) Others(queue queuekey.Key, service string) []Tenure {
	history, moved := d.histories[queue]
	if !moved {
		return nil
	}
	var others []Tenure
	for _, tenure := range history.Earlier {
		if tenure.Service != service {
			others = append(others, tenure)
		}
	}
	if present := d.services[queue]; present != "" && present != service {
		others = append(others, Tenure{Service: present, Since: history.Since})
	}
	return others
}

// Services returns the services of the configuration, and those that had a queue before and may know its jobs. They are sorted.
func (d *QueueDirectory) Services() []string {
	names := slices.Clone(d.names)
	for _, history := range d.histories {
		for _, tenure := range history.Earlier {
			names = append(names, tenure.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// EndedTenures calls visit for each ended tenure of a queue.
func (d *QueueDirectory) EndedTenures(visit func(queue queuekey.Key, ended Tenure)) {
	for key, history := range d.histories {
		for _, tenure := range history.Earlier {
			visit(key, tenure)
		}
	}
}
