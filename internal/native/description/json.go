package description

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// node is a JSON value with its path in the document.
type node struct {
	path  string
	value any
}

// fields is a JSON object; names are in the order of the document.
type fields struct {
	names  []string
	values map[string]node
}

// reader parses a JSON document and collects its faults with their paths. Unlike
// encoding/json it reports all of them, including duplicate and unknown fields.
type reader struct {
	tokens *json.Decoder
	faults []string
}

func (r *reader) fault(path, format string, args ...any) {
	if path == "" {
		path = "."
	}
	r.faults = append(r.faults, path+": "+fmt.Sprintf(format, args...))
}

// read parses a document into nodes. Invalid JSON is reported as one fault.
func (r *reader) read(text []byte) (node, bool) {
	r.tokens = json.NewDecoder(bytes.NewReader(text))
	r.tokens.UseNumber()
	root, err := r.next("")
	if err == nil {
		if _, trailing := r.tokens.Token(); trailing != io.EOF {
			err = errors.Newf("text after the end of the document")
		}
	}
	if err != nil {
		r.fault("", "not JSON: %v (at byte %d)", err, r.tokens.InputOffset())
		return node{}, false
	}
	return root, true
}

// next parses one value.
func (r *reader) next(path string) (node, error) {
	token, err := r.tokens.Token()
	if err != nil {
		return node{}, err
	}
	switch token {
	case json.Delim('{'):
		return r.nextObject(path)
	case json.Delim('['):
		return r.nextList(path)
	}
	return node{path, token}, nil
}

// nextObject parses the rest of an object. It reports a duplicate field as a fault and keeps the
// first value.
func (r *reader) nextObject(path string) (node, error) {
	object := fields{values: map[string]node{}}
	for r.tokens.More() {
		key, err := r.tokens.Token()
		if err != nil {
			return node{}, err
		}
		name := key.(string)
		inner, err := r.next(fieldPath(path, name))
		if err != nil {
			return node{}, err
		}
		if _, duplicate := object.values[name]; duplicate {
			r.fault(inner.path, "is given twice")
			continue
		}
		object.names = append(object.names, name)
		object.values[name] = inner
	}
	_, err := r.tokens.Token()
	return node{path, object}, err
}

// nextList parses the rest of a list.
func (r *reader) nextList(path string) (node, error) {
	list := []node{}
	for r.tokens.More() {
		inner, err := r.next(fmt.Sprintf("%s[%d]", path, len(list)))
		if err != nil {
			return node{}, err
		}
		list = append(list, inner)
	}
	_, err := r.tokens.Token()
	return node{path, list}, err
}

// fieldPath returns the path of an object's field.
func fieldPath(path, name string) string { return strings.TrimPrefix(path+"."+name, ".") }

// object returns a node's fields. Unknown ones are reported; known ones that are absent are
// added with a nil value.
func (r *reader) object(n node, known ...string) fields {
	f, ok := n.value.(fields)
	if !ok {
		r.fault(n.path, "must be an object")
		return fields{values: map[string]node{}}
	}
	for _, name := range f.names {
		if !slices.Contains(known, name) {
			r.fault(f.values[name].path, "is not a known field (known: %s)", strings.Join(known, ", "))
		}
	}
	for _, name := range known {
		if _, ok := f.values[name]; !ok {
			f.values[name] = node{fieldPath(n.path, name), nil}
		}
	}
	return f
}

func (r *reader) list(n node) []node {
	if n.value == nil {
		return nil
	}
	list, ok := n.value.([]node)
	if !ok {
		r.fault(n.path, "must be a list")
	}
	return list
}

const maxNameBytes = 64

// name returns a node's value as a name, which may contain letters, digits, dashes, dots and
// underscores.
func (r *reader) name(n node) string {
	text, ok := n.value.(string)
	if !ok || text == "" {
		r.fault(n.path, "must be a non-empty string")
		return ""
	}
	if len(text) > maxNameBytes {
		r.fault(n.path, "is longer than %d characters", maxNameBytes)
		return ""
	}
	for _, letter := range text {
		plain := letter >= 'a' && letter <= 'z' || letter >= 'A' && letter <= 'Z' ||
			letter >= '0' && letter <= '9' || strings.ContainsRune("-._", letter)
		if !plain {
			r.fault(n.path, "contains %q; a name may contain only letters, digits, dashes, dots and underscores", letter)
			return ""
		}
	}
	return text
}

// integer returns a node's value as a whole number from least to most, or the default
// (otherwise) if it is absent. A default below least means that the value is required.
func (r *reader) integer(n node, least, most, otherwise int64) int64 {
	if n.value == nil {
		if otherwise < least {
			r.fault(n.path, "must be given")
		}
		return otherwise
	}
	number, ok := n.value.(json.Number)
	value, err := number.Int64()
	if !ok || err != nil {
		r.fault(n.path, "must be a whole number")
		return least
	}
	if value < least || value > most {
		r.fault(n.path, "is %d; it must be from %d to %d", value, least, most)
		return least
	}
	return value
}

func (r *reader) boolean(n node) bool {
	if n.value == nil {
		return false
	}
	value, ok := n.value.(bool)
	if !ok {
		r.fault(n.path, "must be true or false")
	}
	return value
}
