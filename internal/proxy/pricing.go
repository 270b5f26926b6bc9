package proxy

// pricing is what reading a prompt costs, by model: the least time that 1,000
// tokens took since it was last told. The least, since all else that a runner
// does only adds to it.
type pricing map[modelOf]float64

type modelOf struct{ service, model string }

// readTokens is the least prompt that tells something: a small one's time is
// mostly that of the way.
const readTokens = 256

// readsDrift lets what is known of a model's reading rise slowly.
const readsDrift = 0.01

// note takes how long the first piece of a prompt of so many tokens took.
func (p pricing) note(service, model string, tokens, ms int64) {
	if tokens < readTokens || ms <= 0 {
		return
	}
	at := modelOf{service, model}
	each := float64(ms) * 1000 / float64(tokens)
	if least, known := p[at]; !known || each < least {
		p[at] = each
	}
}

// take gives the least since it was last taken, or 0.
func (p pricing) take(service, model string) float64 {
	at := modelOf{service, model}
	each := p[at]
	delete(p, at)
	return each
}

// priced takes how long the first piece of an answer took.
func (m *Machine) priced(at modelOf, tokens, ms int64) {
	m.pricing.note(at.service, at.model, tokens, ms)
	if tokens < readTokens || ms <= 0 {
		return
	}
	each := float64(ms) * 1000 / float64(tokens)
	if known := m.reads[at]; known == 0 || each < known {
		m.reads[at] = each
	} else {
		m.reads[at] += readsDrift * (each - known)
	}
}
