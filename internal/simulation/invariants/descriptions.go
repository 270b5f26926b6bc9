package invariants

// Marker is what became of a submitted description. A service that no other
// description has, its marker service, identifies it.
type Marker struct {
	// Rejected says that its operator was last notified that it has no effect.
	Rejected bool
	// Revision is the number under which the marker service first ran, or 0.
	Revision uint64
	// FirstServedMs is when the marker service first ran, or 0.
	FirstServedMs int64
}

// descriptionLog is what was observed of descriptions and their revisions.
type descriptionLog struct {
	// acceptedMs is when an operator was notified that a revision is in force.
	acceptedMs map[uint64]int64
	// newestRevision is the newest one under which a router's requests ran.
	newestRevision map[string]uint64
	// markers are by marker service.
	markers map[string]*Marker
	// markerOf names the marker service of each revision.
	markerOf map[uint64]string
}

func newDescriptionLog() descriptionLog {
	return descriptionLog{
		acceptedMs:     map[uint64]int64{},
		newestRevision: map[string]uint64{},
		markers:        map[string]*Marker{},
		markerOf:       map[uint64]string{},
	}
}

// RevisionAccepted records that an operator was notified that a revision is in force.
func (c *Checker) RevisionAccepted(atMs int64, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, twice := c.descriptions.acceptedMs[revision]; twice {
		c.report(RuleTwoAccepted, atMs, "revision %d was accepted twice", revision)
	}
	c.descriptions.acceptedMs[revision] = atMs
}

// DescriptionLost records that an accepted revision is not there any more.
func (c *Checker) DescriptionLost(atMs int64, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(RuleDescriptionLost, atMs, "%s", detail)
}

// checkInForce checks that a request does not run under a revision that was
// replaced too long ago.
func (c *Checker) checkInForce(atMs int64, key requestKey, revision uint64) {
	for accepted, acceptedMs := range c.descriptions.acceptedMs {
		if revision >= accepted {
			continue
		}
		ageMs := atMs - acceptedMs
		c.WorstOldRevisionMs = max(c.WorstOldRevisionMs, ageMs)
		if ageMs > InForceDeadlineMs {
			c.report(RuleInForce, atMs, "%s ran under revision %d, %d ms after %d was accepted", key, revision, ageMs, accepted)
		}
	}
}

// DescriptionSubmitted records that a description with a marker service was
// submitted.
func (c *Checker) DescriptionSubmitted(markerService string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.descriptions.markers[markerService] == nil {
		c.descriptions.markers[markerService] = &Marker{}
	}
}

// DescriptionRejected records that an operator was notified that a description has
// no effect.
func (c *Checker) DescriptionRejected(atMs int64, markerService string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	marker := c.descriptions.markers[markerService]
	if marker == nil {
		return
	}
	marker.Rejected = true
	if marker.FirstServedMs > 0 {
		c.report(RuleNoEffect, atMs, "%s was refused and had been in effect at %d ms", markerService, marker.FirstServedMs)
	}
}

// DescriptionAccepted records that a description was accepted as a revision.
func (c *Checker) DescriptionAccepted(atMs int64, markerService string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if marker := c.descriptions.markers[markerService]; marker != nil {
		marker.Rejected = false
		c.bindRevision(atMs, revision, markerService)
	}
}

// markerServed notes that a router serves a marker service, so that its
// description is in effect there. Other services are ignored.
func (c *Checker) markerServed(atMs int64, service, router string, revision uint64) {
	marker := c.descriptions.markers[service]
	if marker == nil {
		return
	}
	if marker.Rejected {
		c.report(RuleNoEffect, atMs, "%s serves %s, whose description was refused", router, service)
	}
	if marker.FirstServedMs == 0 {
		marker.FirstServedMs, marker.Revision = atMs, revision
	}
	c.bindRevision(atMs, revision, service)
}

// bindRevision notes which description a revision number stands for, and checks
// that it never stands for two.
func (c *Checker) bindRevision(atMs int64, revision uint64, markerService string) {
	if known, ok := c.descriptions.markerOf[revision]; ok && known != markerService {
		c.report(RuleNoEffect, atMs, "revision %d is the text of %s and of %s", revision, known, markerService)
	}
	c.descriptions.markerOf[revision] = markerService
}

// Markers gives what became of each submitted description, by marker service.
func (c *Checker) Markers() map[string]Marker {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]Marker, len(c.descriptions.markers))
	for service, marker := range c.descriptions.markers {
		copied[service] = *marker
	}
	return copied
}
