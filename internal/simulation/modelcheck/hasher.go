package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"reflect"

	"myrtlewinch/internal/consensus"
)

// hashSeed makes hashes comparable within one process.
var hashSeed = maphash.MakeSeed()

// skippedTypes are types of values that are constant in a run and refer back to
// the machine.
var skippedTypes = map[reflect.Type]bool{reflect.TypeFor[consensus.Settings](): true}

// skippedFields are names of fields that hold effects that were handled
// already, caches, or a counter that only numbers writes. Skipping a field that
// matters would treat different states as equal, so nothing else belongs here.
var skippedFields = map[string]bool{"out": true, "local": true, "saved": true, "sorted": true, "sum": true}

// lengthOnlyFields are names of fields that hold callbacks by number of write:
// the writes in the cluster's queue stand for them.
var lengthOnlyFields = map[string]bool{"saves": true}

// hasher collects values in a canonical form.
type hasher struct{ data []byte }

// hashOf identifies values by all that they hold, unexported fields too.
func hashOf(values ...any) uint64 {
	var h hasher
	for _, value := range values {
		h.writeValue(reflect.ValueOf(value))
	}
	return h.sum()
}

func (h *hasher) sum() uint64 { return maphash.Bytes(hashSeed, h.data) }

func (h *hasher) writeNumber(n uint64) { h.data = binary.LittleEndian.AppendUint64(h.data, n) }

func (h *hasher) writeString(s string) {
	h.writeNumber(uint64(len(s)))
	h.data = append(h.data, s...)
}

// writeBool writes truth values so that they differ from each other and from what is absent, which is 0.
func (h *hasher) writeBool(b bool) {
	if b {
		h.writeNumber(1)
	} else {
		h.writeNumber(2)
	}
}

// floatScale is the precision with which floating-point numbers are compared.
const floatScale = 1 << 20

func (h *hasher) writeValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid:
		h.writeNumber(0)
	case reflect.Bool:
		h.writeBool(v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.writeNumber(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.writeNumber(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.writeNumber(uint64(v.Float() * floatScale))
	case reflect.String:
		h.writeString(v.String())
	case reflect.Func, reflect.Chan:
		h.writeNumber(uint64(v.Pointer()))
	case reflect.Pointer, reflect.Interface:
		h.writeReference(v)
	case reflect.Slice, reflect.Array:
		h.writeList(v)
	case reflect.Map:
		h.writeMap(v)
	case reflect.Struct:
		h.writeStruct(v)
	default:
		panic("modelcheck: a field of kind " + v.Kind().String() + " can't be compared")
	}
}

// writeReference writes what a pointer or an interface refers to.
func (h *hasher) writeReference(v reflect.Value) {
	if v.IsNil() {
		h.writeNumber(0)
		return
	}
	if v.Kind() == reflect.Interface {
		h.writeString(v.Elem().Type().String())
	}
	h.writeValue(v.Elem())
}

func (h *hasher) writeList(v reflect.Value) {
	h.writeNumber(uint64(v.Len()))
	for i := range v.Len() {
		h.writeValue(v.Index(i))
	}
}

// writeMap writes the sum of the hashes of the entries, so that their order
// doesn't matter.
func (h *hasher) writeMap(v reflect.Value) {
	var sum uint64
	entries := v.MapRange()
	for entries.Next() {
		var entry hasher
		entry.writeValue(entries.Key())
		entry.writeValue(entries.Value())
		sum += entry.sum()
	}
	h.writeNumber(uint64(v.Len()))
	h.writeNumber(sum)
}

func (h *hasher) writeStruct(v reflect.Value) {
	structType := v.Type()
	if skippedTypes[structType] {
		return
	}
	for i := range v.NumField() {
		name := structType.Field(i).Name
		switch {
		case skippedFields[name]:
		case lengthOnlyFields[name]:
			h.writeNumber(uint64(v.Field(i).Len()))
		default:
			h.writeValue(v.Field(i))
		}
	}
}
