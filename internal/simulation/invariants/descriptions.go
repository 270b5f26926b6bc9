package invariants

// Marker is what was observed of a submitted description. The description is
// identified by its marker service, which no other description has.
type Marker struct {
	// Rejected is true if the last response to its operator was a rejection, which
	// promises that the description has no effect.
	Rejected bool
	// Revision is the number under which the marker service first ran, or 0.
	Revision uint64
	// FirstServedMs is when the marker service first ran, or 0.
	FirstServedMs int64
}

// descriptionLog is what was observed of descriptions and their revisions.
type descriptionLog struct {
	// acceptedMs is when an operator got the response that a revision was
	// accepted.
	acceptedMs map[uint64]int64
	// newestRevision is, by router, the newest revision under which a request of the
	// router ran.
	newestRevision map[string]uint64
	// markers holds the submitted descriptions by marker service.
	markers map[string]*Marker
	// markerOf holds the marker service of each revision.
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

// RevisionAccepted records that an operator got the response that a revision
// was accepted.
func (c *Checker) RevisionAccepted(atMs int64, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, twice := c.descriptions.acceptedMs[revision]; twice {
		c.report(RuleRevisionAcceptedTwice, atMs, "revision %d was accepted twice", revision)
	}
	c.descriptions.acceptedMs[revision] = atMs
}

// DescriptionLost records that an accepted description was lost.
func (c *Checker) DescriptionLost(atMs int64, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report(RuleDescriptionLost, atMs, "%s", detail)
}

// checkRevisionAge checks that no revision newer than the request's was accepted
// more than StaleRevisionLimitMs ago.
func (c *Checker) checkRevisionAge(atMs int64, key requestKey, revision uint64) {
	for accepted, acceptedMs := range c.descriptions.acceptedMs {
		if revision >= accepted {
			continue
		}
		ageMs := atMs - acceptedMs
		c.WorstStaleRevisionMs = max(c.WorstStaleRevisionMs, ageMs)
		if ageMs > StaleRevisionLimitMs {
			c.report(RuleStaleRevision, atMs, "%s ran under revision %d, %d ms after revision %d was accepted", key, revision, ageMs, accepted)
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

// DescriptionRejected records that an operator got the response that a
// description has no effect.
func (c *Checker) DescriptionRejected(atMs int64, markerService string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	marker := c.descriptions.markers[markerService]
	if marker == nil {
		return
	}
	marker.Rejected = true
	if marker.FirstServedMs > 0 {
		c.report(RuleDescriptionConflict, atMs, "%s was rejected, but was in effect at %d ms", markerService, marker.FirstServedMs)
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

// markerServed records that a router serves a marker service, so that its
// description is in effect there. Other services are ignored.
func (c *Checker) markerServed(atMs int64, service, router string, revision uint64) {
	marker := c.descriptions.markers[service]
	if marker == nil {
		return
	}
	if marker.Rejected {
		c.report(RuleDescriptionConflict, atMs, "%s serves %s, whose description was rejected", router, service)
	}
	if marker.FirstServedMs == 0 {
		marker.FirstServedMs, marker.Revision = atMs, revision
	}
	c.bindRevision(atMs, revision, service)
}

// bindRevision records which description a revision number belongs to, and checks
// that no two descriptions have the same number.
func (c *Checker) bindRevision(atMs int64, revision uint64, markerService string) {
	if known, ok := c.descriptions.markerOf[revision]; ok && known != markerService {
		c.report(RuleDescriptionConflict, atMs, "revision %d was assigned to two descriptions, those of %s and %s", revision, known, markerService)
	}
	c.descriptions.markerOf[revision] = markerService
}

// Markers returns the observations of each submitted description, by marker
// service.
func (c *Checker) Markers() map[string]Marker {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]Marker, len(c.descriptions.markers))
	for service, marker := range c.descriptions.markers {
		copied[service] = *marker
	}
	return copied
}
