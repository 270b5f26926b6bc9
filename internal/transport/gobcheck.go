package transport

import (
	"github.com/cockroachdb/errors"
)

// errMalformedFrame means that a frame is not a sequence of valid gob messages.
var errMalformedFrame = errors.New("frame is not a sequence of valid gob messages")

const (
	// maxGobLengthBytes is the largest number of bytes that follow the first one of an
	// unsigned number.
	maxGobLengthBytes = 8
	// maxGobDepth bounds the nesting of values.
	maxGobDepth = 100
	// maxGobTypes bounds the types that a peer may define on a connection.
	maxGobTypes = 1000
)

// The types that every gob stream knows without a definition.
const (
	gobBool      = 1
	gobInt       = 2
	gobUint      = 3
	gobFloat     = 4
	gobBytes     = 5
	gobString    = 6
	gobComplex   = 7
	gobInterface = 8
)

// The fields of the definition of a type, of which one is set.
const (
	gobArrayField = iota
	gobSliceField
	gobStructField
	gobMapField
	gobEncoderField
	gobBinaryMarshalerField
	gobTextMarshalerField
	gobTypeFields
)

// gobType is the definition of a type in a gob stream.
type gobType struct {
	// kind is one of the fields above.
	kind int
	// elements are the types of the elements of an array or slice, of the fields of a
	// struct, or of the key and the element of a map.
	elements []int64
}

// gobChecker checks the messages of a gob stream before they are decoded, because gob
// allocates the memory of a message, a list or a map by its declared size. Every size must
// fit into what has arrived of the frame. The rules are those of the documentation of
// encoding/gob.
type gobChecker struct {
	types map[int64]gobType
	// message is the rest of the current message, frame what follows it.
	message, frame []byte
	depth          int
}

// check checks a frame. The types that it defines are known in the frames that follow.
func (g *gobChecker) check(frame []byte) error {
	if g.types == nil {
		g.types = map[int64]gobType{}
	}
	g.message, g.frame, g.depth = nil, frame, 0
	for len(g.message) > 0 || len(g.frame) > 0 {
		if !g.topLevelValue() {
			return errMalformedFrame
		}
	}
	return nil
}

// topLevelValue reads the definitions of types and the value that follows them. Each of the
// functions below returns false if the stream is not valid.
func (g *gobChecker) topLevelValue() bool {
	id, ok := g.typeSequence(false)
	return ok && g.delimitedValue(id) && len(g.message) == 0
}

// delimitedValue reads a value that stands alone: one that is no struct begins with a zero.
func (g *gobChecker) delimitedValue(id int64) bool {
	if g.types[id].kind == gobStructField && id > gobInterface {
		return g.value(id)
	}
	zero, ok := g.uint()
	return ok && zero == 0 && g.value(id)
}

// typeSequence reads definitions of types up to the type of the value that follows.
func (g *gobChecker) typeSequence(inInterface bool) (id int64, ok bool) {
	for {
		if len(g.message) == 0 && !g.nextMessage() {
			return 0, false
		}
		id, ok := g.int()
		if !ok || id >= 0 {
			return id, ok
		}
		if !g.definition(-id) {
			return 0, false
		}
		if len(g.message) == 0 {
			continue
		}
		// In an interface the length of the rest follows a definition in the same message.
		if _, ok := g.uint(); !ok || !inInterface {
			return 0, false
		}
	}
}

// nextMessage begins the next message of the frame.
func (g *gobChecker) nextMessage() bool {
	if len(g.frame) == 0 {
		return false
	}
	g.message, g.frame = g.frame, nil
	length, ok := g.uint()
	if !ok || length > uint64(len(g.message)) {
		return false
	}
	g.message, g.frame = g.message[:length], g.message[length:]
	return true
}

// value reads a value of a type.
func (g *gobChecker) value(id int64) bool {
	if g.depth >= maxGobDepth {
		return false
	}
	g.depth++
	defer func() { g.depth-- }()
	switch id {
	case gobBool, gobInt, gobUint, gobFloat:
		return g.skipUints(1)
	case gobComplex:
		return g.skipUints(2)
	case gobBytes, gobString:
		return g.skipBytes()
	case gobInterface:
		return g.interfaceValue()
	}
	definition, known := g.types[id]
	return known && g.definedValue(definition)
}

// definedValue reads a value of a type that the stream has defined.
func (g *gobChecker) definedValue(definition gobType) bool {
	switch definition.kind {
	case gobArrayField, gobSliceField, gobMapField:
		return g.values(definition.elements)
	case gobStructField:
		return g.fields(definition.elements)
	}
	return g.skipBytes()
}

// values reads a list of sets of values: of one for a slice, of two for a map. Each value
// takes at least one byte.
func (g *gobChecker) values(types []int64) bool {
	count, ok := g.uint()
	if !ok || count*uint64(len(types)) > uint64(len(g.message)+len(g.frame)) || count > MaxFrameBytes {
		return false
	}
	for range count {
		for _, id := range types {
			if !g.value(id) {
				return false
			}
		}
	}
	return true
}

// fields reads the fields of a struct. Each has the difference of its number to the last one
// before it, and a zero ends them.
func (g *gobChecker) fields(types []int64) bool {
	next := uint64(0)
	for {
		delta, ok := g.uint()
		if !ok || delta == 0 {
			return ok
		}
		if delta > uint64(len(types))-next {
			return false
		}
		next += delta
		if !g.value(types[next-1]) {
			return false
		}
	}
}

// interfaceValue reads the name of a type, its definition unless it is known, and a value.
func (g *gobChecker) interfaceValue() bool {
	nameBytes, ok := g.uint()
	if !ok || nameBytes > uint64(len(g.message)) {
		return false
	}
	g.message = g.message[nameBytes:]
	if nameBytes == 0 {
		return true
	}
	id, ok := g.typeSequence(true)
	return ok && g.skipUints(1) && g.delimitedValue(id)
}

func (g *gobChecker) skipUints(count int) bool {
	for range count {
		if _, ok := g.uint(); !ok {
			return false
		}
	}
	return true
}

// skipBytes reads a length and as many bytes.
func (g *gobChecker) skipBytes() bool {
	length, ok := g.uint()
	if !ok || length > uint64(len(g.message)) {
		return false
	}
	g.message = g.message[length:]
	return true
}

// uint reads an unsigned number. One below 128 is one byte. Otherwise the first byte is the
// negated number of the bytes that follow.
func (g *gobChecker) uint() (number uint64, ok bool) {
	const maxShort = 0x7f
	if len(g.message) == 0 {
		return 0, false
	}
	first := g.message[0]
	if first <= maxShort {
		g.message = g.message[1:]
		return uint64(first), true
	}
	count := -int(int8(first))
	if count > maxGobLengthBytes || count >= len(g.message) {
		return 0, false
	}
	for _, b := range g.message[1 : 1+count] {
		number = number<<8 | uint64(b)
	}
	g.message = g.message[1+count:]
	return number, true
}

// int reads a signed number. Its lowest bit says that the others are complemented.
func (g *gobChecker) int() (number int64, ok bool) {
	unsigned, ok := g.uint()
	if unsigned&1 != 0 {
		return ^int64(unsigned >> 1), ok
	}
	return int64(unsigned >> 1), ok
}
