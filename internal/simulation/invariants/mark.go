package invariants

// Handed notes that a description was handed over which can be told by a
// service of its own.
func (b *Book) Handed(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.marks[service] == nil {
		b.marks[service] = &Mark{}
	}
}

// NoEffect notes that an operator was told that a description has no effect.
func (b *Book) NoEffect(atMs int64, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.marks[service]; m != nil {
		m.Ended = "no effect"
		if m.SeenMs > 0 {
			b.breach("no effect", atMs, "%s was refused and had been in effect at %d ms", service, m.SeenMs)
		}
	}
}

// InForce notes that a description was accepted under a number.
func (b *Book) InForce(atMs int64, service string, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.marks[service]; m != nil {
		m.Ended = "accepted"
		b.textOf(atMs, number, service)
	}
}

// markRan notes that a description's own service ran, so that it is in effect
// at that router.
func (b *Book) markRan(atMs int64, service, router string, number uint64) {
	m := b.marks[service]
	if m == nil {
		return
	}
	if m.Ended == "no effect" {
		b.breach("no effect", atMs, "%s serves %s, whose description was refused", router, service)
	}
	if m.SeenMs == 0 {
		m.SeenMs, m.Revision = atMs, number
	}
	b.textOf(atMs, number, service)
}

// textOf notes which text a number stands for: it is one, for good.
func (b *Book) textOf(atMs int64, number uint64, service string) {
	if known, ok := b.texts[number]; ok && known != service {
		b.breach("no effect", atMs, "revision %d is the text of %s and of %s", number, known, service)
	}
	b.texts[number] = service
}

// Marks gives what became of each description that was handed over.
func (b *Book) Marks() map[string]Mark {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]Mark{}
	for service, m := range b.marks {
		out[service] = *m
	}
	return out
}
