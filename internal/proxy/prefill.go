package proxy

const (
	// minPrefillTokens is the length of the shortest prompt that is measured:
	// with a shorter one most of the time passes on the network.
	minPrefillTokens = 256
	// prefillDrift is how far an estimate moves towards a slower measurement.
	prefillDrift = 0.01
	// assumedPrefillMs replaces the estimate of a model of which no prefill has
	// been measured yet.
	assumedPrefillMs = 100
	// meanPrefillPrompts is the number of prompts over which a service's mean is
	// taken; until there are so many, over all.
	meanPrefillPrompts = 64
	// meetingPrompts is how many prompts of the mean length may well meet at a
	// runner. Where their prefill fits into the longest gap that a route allows,
	// requests are better chosen by load and prefix cache.
	meetingPrompts = 4
)

// modelKey names a model of a service.
type modelKey struct{ service, model string }

// prefillMinimums holds for each model the least time, in milliseconds per
// 1,000 tokens, that a prefill took since the last report to the control
// plane. The least, since everything else that a runner does only adds to it.
type prefillMinimums map[modelKey]float64

// record takes one measurement; one of a short prompt is ignored.
func (p prefillMinimums) record(service, model string, tokens, ms int64) {
	msPer1000Tokens, valid := prefillSpeed(tokens, ms)
	if !valid {
		return
	}
	key := modelKey{service, model}
	if least, known := p[key]; !known || msPer1000Tokens < least {
		p[key] = msPer1000Tokens
	}
}

// takeMinimum returns the minimum and removes it; 0 if there is none.
func (p prefillMinimums) takeMinimum(service, model string) float64 {
	key := modelKey{service, model}
	least := p[key]
	delete(p, key)
	return least
}

// prefillSpeed returns the milliseconds for 1,000 tokens, and whether the
// prompt was long enough to be measured.
func prefillSpeed(tokens, ms int64) (msPer1000Tokens float64, valid bool) {
	if tokens < minPrefillTokens || ms <= 0 {
		return 0, false
	}
	return float64(ms) * 1000 / float64(tokens), true
}

// expectedPrefillMs estimates how long the prefill of a request's prompt takes.
func (m *Machine) expectedPrefillMs(r *request) int64 {
	return m.prefillMs(r.key, r.Params.PromptTokens)
}

// prefillMs estimates how long the prefill of so many tokens takes for a model.
func (m *Machine) prefillMs(key cacheKey, tokens int64) int64 {
	msPer1000Tokens := m.prefillEstimates[modelKey{key.service, key.model}]
	if msPer1000Tokens <= 0 {
		msPer1000Tokens = assumedPrefillMs
	}
	return int64(msPer1000Tokens * float64(tokens) / 1000)
}

// meanPrefill is a running mean of estimated prefill times.
type meanPrefill struct {
	ms      float64
	prompts int
}

// add adds a prompt to the mean.
func (p *meanPrefill) add(ms int64) {
	p.prompts = min(p.prompts+1, meanPrefillPrompts)
	p.ms += (float64(ms) - p.ms) / float64(p.prompts)
}

// noteMeanPrefill adds a prompt to the mean of its service.
func (m *Machine) noteMeanPrefill(service string, prefillMs int64) {
	mean := m.meanPrefills[service]
	if mean == nil {
		mean = &meanPrefill{}
		m.meanPrefills[service] = mean
	}
	mean.add(prefillMs)
}

// prefillMatters reports whether prompts that meet at a runner hold up streams for
// longer than the request's route allows.
func (m *Machine) prefillMatters(r *request) bool {
	mean, gapMs := m.meanPrefills[r.service.Name], float64(r.route.MaxEventGapMs)
	return gapMs > 0 && mean != nil && meetingPrompts*mean.ms >= gapMs
}

// recordPrefill takes the time from the start of an attempt to the head of its
// response as a measurement. The router's own estimate follows a faster
// measurement at once and a slower one slowly.
func (m *Machine) recordPrefill(key modelKey, tokens, ms int64) {
	m.prefillReports.record(key.service, key.model, tokens, ms)
	msPer1000Tokens, valid := prefillSpeed(tokens, ms)
	if !valid {
		return
	}
	if known := m.prefillEstimates[key]; known == 0 || msPer1000Tokens < known {
		m.prefillEstimates[key] = msPer1000Tokens
	} else {
		m.prefillEstimates[key] += prefillDrift * (msPer1000Tokens - known)
	}
}
