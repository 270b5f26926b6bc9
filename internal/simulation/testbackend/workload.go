package testbackend

import (
	"math/rand"

	"myrtlewinch/internal/native/description"
)

// requestsPerAdapterRequest is the mean number of requests for a model with adapters
// per request that names an adapter.
const requestsPerAdapterRequest = 4

// Workload is the rate of requests for a service, and the models and adapters that they
// may name.
type Workload struct {
	Service        string
	RequestsPerSec float64
	// Streaming is true if the service responds with a stream of chunks.
	Streaming bool
	// Models may be empty; requests then name no model. The first ones are requested
	// most.
	Models []string
	// Adapters holds the adapters by model.
	Adapters map[string][]string
}

// WorkloadsOf returns a workload for each service of a description: smallPerSec
// requests per second for idempotent services, which are the small ones, and
// otherPerSec for all others.
func WorkloadsOf(d *description.Description, smallPerSec, otherPerSec float64) []Workload {
	adapters := map[string][]string{}
	for _, adapter := range d.Adapters {
		adapters[adapter.Model] = append(adapters[adapter.Model], adapter.Name)
	}
	var workloads []Workload
	for _, service := range d.Services {
		perSec := otherPerSec
		if service.Idempotent {
			perSec = smallPerSec
		}
		workloads = append(workloads, Workload{
			Service: service.Name, RequestsPerSec: perSec, Streaming: service.Streaming,
			Models: service.Models, Adapters: adapters,
		})
	}
	return workloads
}

// chooseModel chooses a random model and possibly an adapter. Most requests are for a
// few models, as with real clients.
func (w Workload) chooseModel(random *rand.Rand) (model, adapter string) {
	if len(w.Models) == 0 {
		return "", ""
	}
	spread := random.Float64()
	model = w.Models[int(spread*spread*spread*float64(len(w.Models)))]
	adapters := w.Adapters[model]
	if len(adapters) > 0 && random.Intn(requestsPerAdapterRequest) == 0 {
		adapter = adapters[random.Intn(len(adapters))]
	}
	return model, adapter
}
