package statetable

// Begin marks the start of an epoch, so that the positions of the last changes of two
// primaries differ. It writes nothing but the position.
type Begin struct{}

// Apply does nothing, because every change writes the position.
func (Begin) Apply(*Table) {}

// Put writes plain rows. An empty text removes a row.
type Put struct{ Rows map[string]string }

// Apply writes the rows.
func (p Put) Apply(t *Table) {
	for name, text := range p.Rows {
		t.set(name, text)
		t.MarkDirty(plainPrefix + name)
	}
}
