package transport

// definition reads the definition of a type: a struct with one field for each kind of type,
// of which one is set.
func (g *gobChecker) definition(id int64) bool {
	if _, known := g.types[id]; known || id <= gobInterface || len(g.types) >= maxGobTypes {
		return false
	}
	found := gobType{kind: -1}
	valid := g.eachField(gobTypeFields, func(field int) bool {
		if found.kind >= 0 {
			return false
		}
		found.kind = field
		return g.definitionOfKind(&found)
	})
	if !valid || found.kind < 0 {
		return false
	}
	g.types[id] = found
	return true
}

// The fields of the definition of each kind. The first has the name and the number of the
// type.
const (
	definitionCommon = iota
	definitionFirst
	definitionSecond
	definitionFields
)

// definitionOfKind reads the definition of an array (element type and length), a slice
// (element type), a struct (fields), a map (types of key and element), or of a type that
// encodes itself (nothing).
func (g *gobChecker) definitionOfKind(found *gobType) bool {
	return g.eachField(definitionFields, func(field int) bool {
		switch {
		case field == definitionCommon:
			return g.nameAndNumber(nil)
		case found.kind == gobStructField && field == definitionFirst:
			return g.structFields(found)
		case found.kind == gobArrayField && field == definitionSecond:
			return g.skipUints(1)
		case found.kind == gobMapField, found.kind == gobArrayField, found.kind == gobSliceField && field == definitionFirst:
			element, ok := g.int()
			found.elements = append(found.elements, element)
			return ok
		}
		return false
	})
}

// structFields reads the names and types of the fields of a struct.
func (g *gobChecker) structFields(found *gobType) bool {
	count, ok := g.uint()
	if !ok || count > uint64(len(g.message)) {
		return false
	}
	for range count {
		if !g.nameAndNumber(&found.elements) {
			return false
		}
	}
	return true
}

// nameAndNumber reads a struct of a name and a number, and appends the number to a list.
func (g *gobChecker) nameAndNumber(numbers *[]int64) bool {
	const nameField, numberField, fields = 0, 1, 2
	number := int64(0)
	valid := g.eachField(fields, func(field int) (ok bool) {
		if field == nameField {
			return g.skipBytes()
		}
		number, ok = g.int()
		return ok && field == numberField
	})
	if numbers != nil {
		*numbers = append(*numbers, number)
	}
	return valid
}

// eachField calls read for each field that a struct with this many fields has.
func (g *gobChecker) eachField(fields int, read func(field int) bool) bool {
	last := -1
	for {
		delta, ok := g.uint()
		if !ok || delta == 0 {
			return ok
		}
		if delta > uint64(fields-1-last) {
			return false
		}
		last += int(delta)
		if !read(last) {
			return false
		}
	}
}
