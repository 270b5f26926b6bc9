package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"reflect"

	"myrtlewinch/internal/consensus"
)

// hashSeed is shared by all hashes, so that they are comparable within one process.
var hashSeed = maphash.MakeSeed()

// skippedTypes are types whose values are constant in a run and refer back to the
// machine.
var skippedTypes = map[reflect.Type]bool{reflect.TypeFor[consensus.Settings](): true}

// skippedFields are the names of the fields that are not hashed. They hold caches,
// effects that were already handled, or a counter that is only used to number writes.
// They are matched by name in all types. Skipping any other field would treat different
// states as equal.
var skippedFields = map[string]bool{"out": true, "local": true, "saved": true, "sorted": true, "sum": true}

// lengthOnlyFields are the names of the fields that map numbers of writes to callbacks.
// Only their length is hashed; the writes in the cluster's queue cover the rest.
var lengthOnlyFields = map[string]bool{"saves": true}

// hasher collects the canonical encoding of values.
type hasher struct{ data []byte }

// hashOf returns a hash of values with all their fields, unexported ones included,
// except skippedFields.
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

// writeBool writes 1 for true and 2 for false, because 0 stands for an absent value.
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
		panic("modelcheck: hashing a value of kind " + v.Kind().String() + " is not supported")
	}
}

// writeReference writes the value that a pointer or interface refers to.
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

// writeMap writes the sum of the hashes of the entries, which does not depend on
// their order.
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
