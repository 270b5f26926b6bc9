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
var skippedFields = map[string]bool{"out": true, "local": true, "saved": true, "sorted": true, "sum": true, "table": true}

// countedFields are tables of callbacks by number of write: the cluster's own
// list of writes under way stands for them.
var countedFields = map[string]bool{"saves": true}

// hasher writes values in a canonical form.
type hasher struct{ bytes []byte }

// hashOf names a value by all that it holds, unexported fields too.
func hashOf(values ...any) uint64 {
	var h hasher
	for _, value := range values {
		h.value(reflect.ValueOf(value))
	}
	return h.sum()
}

func (h *hasher) sum() uint64 { return maphash.Bytes(seed, h.bytes) }

func (h *hasher) number(n uint64) { h.bytes = binary.LittleEndian.AppendUint64(h.bytes, n) }

func (h *hasher) text(s string) {
	h.number(uint64(len(s)))
	h.bytes = append(h.bytes, s...)
}

func (h *hasher) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid:
		h.number(0)
	case reflect.Bool:
		if v.Bool() {
			h.number(1)
		} else {
			h.number(2)
		}
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.number(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.number(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.number(uint64(v.Float() * (1 << 20)))
	case reflect.String:
		h.text(v.String())
	case reflect.Func, reflect.Chan:
		h.number(uint64(v.Pointer()))
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			h.number(0)
			return
		}
		if v.Kind() == reflect.Interface {
			h.text(v.Elem().Type().String())
		}
		h.value(v.Elem())
	case reflect.Slice, reflect.Array:
		h.number(uint64(v.Len()))
		for i := range v.Len() {
			h.value(v.Index(i))
		}
	case reflect.Map:
		h.table(v)
	case reflect.Struct:
		h.fields(v)
	default:
		panic("modelcheck: a field of kind " + v.Kind().String() + " can't be compared")
	}
}

// table adds the hashes of the entries, whose order then doesn't matter.
func (h *hasher) table(v reflect.Value) {
	var sum uint64
	entries := v.MapRange()
	for entries.Next() {
		var entry hasher
		entry.value(entries.Key())
		entry.value(entries.Value())
		sum += entry.sum()
	}
	h.number(uint64(v.Len()))
	h.number(sum)
}

func (h *hasher) fields(v reflect.Value) {
	kind := v.Type()
	if skippedTypes[kind] {
		return
	}
	for i := range v.NumField() {
		name := kind.Field(i).Name
		switch {
		case skippedFields[name]:
		case countedFields[name]:
			h.number(uint64(v.Field(i).Len()))
		default:
			h.value(v.Field(i))
		}
	}
}
