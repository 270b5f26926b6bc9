package modelcheck

import (
	"encoding/binary"
	"hash/maphash"
	"reflect"

	"myrtlewinch/internal/consensus"
)

// seed makes hashes comparable within one process.
var seed = maphash.MakeSeed()

// skippedTypes are constant in a run, and lead back to the machine.
var skippedTypes = map[reflect.Type]bool{reflect.TypeFor[consensus.Settings](): true}

// skippedFields hold effects that were taken already, caches, or a counter that
// only names writes. Leaving one out that had a meaning would join states that
// differ, so nothing else belongs here.
var skippedFields = map[string]bool{"out": true, "local": true, "saved": true, "sorted": true, "sum": true}

// lengthOnlyFields are tables of callbacks by number of write: the cluster's own
// list of writes under way stands for them.
var lengthOnlyFields = map[string]bool{"saves": true}

// hasher writes values in a canonical form.
type hasher struct{ data []byte }

// hashOf names a value by all that it holds, unexported fields too.
func hashOf(values ...any) uint64 {
	var h hasher
	for _, value := range values {
		h.writeValue(reflect.ValueOf(value))
	}
	return h.sum()
}

func (h *hasher) sum() uint64 { return maphash.Bytes(seed, h.data) }

func (h *hasher) writeNumber(n uint64) { h.data = binary.LittleEndian.AppendUint64(h.data, n) }

func (h *hasher) writeString(s string) {
	h.writeNumber(uint64(len(s)))
	h.data = append(h.data, s...)
}

func (h *hasher) writeValue(v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid:
		h.writeNumber(0)
	case reflect.Bool:
		if v.Bool() {
			h.writeNumber(1)
		} else {
			h.writeNumber(2)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.writeNumber(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.writeNumber(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.writeNumber(uint64(v.Float() * (1 << 20)))
	case reflect.String:
		h.writeString(v.String())
	case reflect.Func, reflect.Chan:
		h.writeNumber(uint64(v.Pointer()))
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			h.writeNumber(0)
			return
		}
		if v.Kind() == reflect.Interface {
			h.writeString(v.Elem().Type().String())
		}
		h.writeValue(v.Elem())
	case reflect.Slice, reflect.Array:
		h.writeNumber(uint64(v.Len()))
		for i := range v.Len() {
			h.writeValue(v.Index(i))
		}
	case reflect.Map:
		h.writeMap(v)
	case reflect.Struct:
		h.writeStruct(v)
	default:
		panic("modelcheck: a field of kind " + v.Kind().String() + " can't be compared")
	}
}

// writeMap adds the hashes of the entries, whose order then doesn't matter.
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
	kind := v.Type()
	if skippedTypes[kind] {
		return
	}
	for i := range v.NumField() {
		name := kind.Field(i).Name
		switch {
		case skippedFields[name]:
		case lengthOnlyFields[name]:
			h.writeNumber(uint64(v.Field(i).Len()))
		default:
			h.writeValue(v.Field(i))
		}
	}
}
