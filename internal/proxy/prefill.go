package proxy

// prefillMinimums is what reading a prompt costs, by model: the least time that 1,000
// tokens took since it was last told. The least, since all else that a runner
// does only adds to it.
type prefillMinimums map[modelKey]float64

type modelKey struct{ service, model string }

// minPrefillTokens is the least prompt that tells something: a small one's time is
// mostly that of the way.
const minPrefillTokens = 256

// prefillDrift lets what is known of a model's reading rise slowly.
const prefillDrift = 0.01

// record takes how long the first piece of a prompt of so many tokens took.
func (p prefillMinimums) record(service, model string, tokens, ms int64) {
	if tokens < minPrefillTokens || ms <= 0 {
		return
	}
	at := modelKey{service, model}
	each := float64(ms) * 1000 / float64(tokens)
	if least, known := p[at]; !known || each < least {
		p[at] = each
	}
}

// takeMinimum gives the least since it was last taken, or 0.
func (p prefillMinimums) takeMinimum(service, model string) float64 {
	at := modelKey{service, model}
	each := p[at]
	delete(p, at)
	return each
}

// recordPrefill takes how long the first piece of an answer took.
func (m *Machine) recordPrefill(at modelKey, tokens, ms int64) {
	m.prefillReports.record(at.service, at.model, tokens, ms)
	if tokens < minPrefillTokens || ms <= 0 {
		return
	}
	each := float64(ms) * 1000 / float64(tokens)
	if known := m.prefillEstimates[at]; known == 0 || each < known {
		m.prefillEstimates[at] = each
	} else {
		m.prefillEstimates[at] += prefillDrift * (each - known)
	}
}
