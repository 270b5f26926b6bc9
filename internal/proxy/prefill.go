package proxy

const (
	// minPrefillTokens is the length of the shortest prompt that is measured. With a
	// shorter one most of the measured time is spent on the network.
	minPrefillTokens = 256
	// slowerPrefillWeight is the weight of a measurement that is slower than the
	// estimate.
	slowerPrefillWeight = 0.01
	// assumedPrefillMs is the assumed prefill time for 1,000 tokens of a model for which
	// none has been measured yet.
	assumedPrefillMs = 100
	// A new prompt has the weight 1/meanPrefillPrompts in the running mean of its service.
	// Over the first meanPrefillPrompts prompts it is the plain mean.
	meanPrefillPrompts = 64
	// concurrentPrompts is how many prompts of the mean length are likely to be at one
	// runner at the same time. If their prefill fits into the longest gap that a route
	// allows, choosing by load and prefix cache is better.
	concurrentPrompts = 4
)

// modelKey names a model of a service.
type modelKey struct{ service, model string }

// prefillMinimums holds for each model the minimum time, in milliseconds per 1,000
// tokens, that a prefill took since the last report to the control plane. The minimum is
// used because all other work of a runner only adds to the time.
type prefillMinimums map[modelKey]float64

// record adds one measurement, unless the prompt is too short.
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

// takeMinimum returns the minimum and removes it. It returns 0 if there is none.
func (p prefillMinimums) takeMinimum(service, model string) float64 {
	key := modelKey{service, model}
	least := p[key]
	delete(p, key)
	return least
}

// prefillSpeed returns the milliseconds per 1,000 tokens, and whether the prompt was long
// enough to be measured.
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

// prefillMs estimates how long a model takes to prefill this number of tokens.
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

// add adds the estimated prefill time of a prompt to the mean.
func (p *meanPrefill) add(ms int64) {
	p.prompts = min(p.prompts+1, meanPrefillPrompts)
	p.ms += (float64(ms) - p.ms) / float64(p.prompts)
}

// recordMeanPrefill adds a prompt's estimated prefill time to the mean of its service.
func (m *Machine) recordMeanPrefill(service string, prefillMs int64) {
	mean := m.meanPrefills[service]
	if mean == nil {
		mean = &meanPrefill{}
		m.meanPrefills[service] = mean
	}
	mean.add(prefillMs)
}

// prefillDelaysStreams reports whether concurrentPrompts prompts of mean length at one
// runner would delay its streams by the longest gap that the request's route allows, or
// more.
func (m *Machine) prefillDelaysStreams(r *request) bool {
	mean, gapMs := m.meanPrefills[r.service.Name], float64(r.route.MaxEventGapMs)
	return gapMs > 0 && mean != nil && concurrentPrompts*mean.ms >= gapMs
}

// recordPrefill records the time from the start of an attempt to the head of its response
// as a measurement. The router's own estimate follows a faster measurement at once and a
// slower one slowly.
func (m *Machine) recordPrefill(key modelKey, tokens, ms int64) {
	m.prefillReports.record(key.service, key.model, tokens, ms)
	msPer1000Tokens, valid := prefillSpeed(tokens, ms)
	if !valid {
		return
	}
	if known := m.prefillEstimates[key]; known == 0 || msPer1000Tokens < known {
		m.prefillEstimates[key] = msPer1000Tokens
	} else {
		m.prefillEstimates[key] += slowerPrefillWeight * (msPer1000Tokens - known)
	}
}
