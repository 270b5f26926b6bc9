package invariants

// allowance is what a description allows from a time on.
type allowance struct {
	atMs, pace int64
	rooms      map[string]int64
}

// Allow notes the pace and the rooms of a description that was accepted.
func (b *Book) Allow(atMs, pace int64, rooms map[string]int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.before = b.pace
	b.pace = pace
	b.allowed = &allowance{atMs, pace, rooms}
}

// paceWithin is the pace that the ten seconds up to a time may have: the
// greater one where a description that changes it falls into them.
func (b *Book) paceWithin(atMs int64) int64 {
	if b.allowed != nil && atMs < b.allowed.atMs+SecondMs {
		return max(b.before, b.pace)
	}
	return b.pace
}
