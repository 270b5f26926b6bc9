package testbackend

import (
	"math/rand"

	"myrtlewinch/internal/native/description"
)

// One in adapterShare requests for a model names an adapter,
// where the model has any.
const adapterShare = 4

// Workload is how often a service is asked, and what its requests may name.
type Workload struct {
	Service        string
	RequestsPerSec float64
	// Streaming says that the service answers with a stream of pieces.
	Streaming bool
	// Models may be empty; then requests name none. The first ones are asked
	// for most.
	Models []string
	// Adapters are by model.
	Adapters map[string][]string
}

// WorkloadsOf gives each service of a description its workload: repeatable
// services, which are the small ones, are asked smallPerSec times a second, all
// others otherPerSec times.
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

// chooseModel draws a model and perhaps an adapter. A few models are asked for
// most, as with real clients.
func (w Workload) chooseModel(random *rand.Rand) (model, adapter string) {
	if len(w.Models) == 0 {
		return "", ""
	}
	spread := random.Float64()
	model = w.Models[int(spread*spread*spread*float64(len(w.Models)))]
	adapters := w.Adapters[model]
	if len(adapters) > 0 && random.Intn(adapterShare) == 0 {
		adapter = adapters[random.Intn(len(adapters))]
	}
	return model, adapter
}
