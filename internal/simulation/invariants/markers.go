package invariants

// DescriptionSubmitted notes that a description was handed over which can be told by a
// service of its own.
func (c *Checker) DescriptionSubmitted(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.markers[service] == nil {
		c.markers[service] = &Marker{}
	}
}

// DescriptionRejected notes that an operator was told that a description has no effect.
func (c *Checker) DescriptionRejected(atMs int64, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.markers[service]; m != nil {
		m.Outcome = "no effect"
		if m.FirstServedMs > 0 {
			c.report("no effect", atMs, "%s was refused and had been in effect at %d ms", service, m.FirstServedMs)
		}
	}
}

// DescriptionAccepted notes that a description was accepted under a number.
func (c *Checker) DescriptionAccepted(atMs int64, service string, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.markers[service]; m != nil {
		m.Outcome = "accepted"
		c.revisionText(atMs, number, service)
	}
}

// markerRan notes that a description's own service ran, so that it is in effect
// at that router.
func (c *Checker) markerRan(atMs int64, service, router string, number uint64) {
	m := c.markers[service]
	if m == nil {
		return
	}
	if m.Outcome == "no effect" {
		c.report("no effect", atMs, "%s serves %s, whose description was refused", router, service)
	}
	if m.FirstServedMs == 0 {
		m.FirstServedMs, m.Revision = atMs, number
	}
	c.revisionText(atMs, number, service)
}

// revisionText notes which text a number stands for: it is one, for good.
func (c *Checker) revisionText(atMs int64, number uint64, service string) {
	if known, ok := c.markerOfRevision[number]; ok && known != service {
		c.report("no effect", atMs, "revision %d is the text of %s and of %s", number, known, service)
	}
	c.markerOfRevision[number] = service
}

// Markers gives what became of each description that was handed over.
func (c *Checker) Markers() map[string]Marker {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]Marker{}
	for service, m := range c.markers {
		out[service] = *m
	}
	return out
}
