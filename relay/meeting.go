package relay

import "myrtlewinch/outlier"

const (
	// lateTimes and lateMs make a first piece, or a plain answer, far later than
	// is usual.
	lateTimes   = 4
	lateLeastMs = 150
	// toldMost bounds what a look-up tells of runners.
	toldMost = 4
)

// meet judges how a send ended: by what the request met, never by what a
// runner tells of its health.
func (m *Machine) meet(r *request, outcome Outcome, ill bool) {
	failed := false
	known := m.runner(r.runner)
	switch outcome {
	case Answered:
		failed = ill || r.slow || r.service.Engine == nil && m.late(r)
	case NotSent, Failed, Lost, Nonsense, Cut:
		failed = true
	case TurnedAway:
		// A busy runner may turn away; one with room should not.
		if !r.calm {
			return
		}
		failed = true
	default:
		return
	}
	all := m.met[r.key.service]
	if all == nil {
		all = &outlier.Count{}
		m.met[r.key.service] = all
	}
	known.met.Meet(m.nowMs, failed, all)
	switch {
	case failed && len(m.ill) < toldMost:
		m.ill = append(m.ill, r.runner)
	case !failed && len(m.well) < toldMost:
		m.well = append(m.well, r.runner)
	}
}

// calm says that a runner has little else to do: only then does slowness, or
// turning away, tell of the runner and not of its load.
func (m *Machine) calm(known *runner, r *request) bool {
	return known.reading == 0 && known.slots > 0 && 2*known.load(m.nowMs) < known.slots &&
		2*(known.cache(m.nowMs)+r.tokens) <= max(known.cacheTotal, 2*r.tokens)
}

// late says that a send has taken far longer than is usual so far: to the first
// piece of a stream, or to the answer of a plain request.
func (m *Machine) late(r *request) bool {
	usualMs := m.times[r.route.Name]
	if r.service.Engine != nil {
		usualMs = m.reads[modelOf{r.key.service, r.key.model}] * float64(r.Asked.PromptTokens) / 1000
	}
	return r.calm && usualMs > 0 && float64(m.nowMs-r.goneMs) > lateTimes*usualMs+lateLeastMs
}
