package description

import (
	"bytes"
	"encoding/json"
)

// Patch replaces each top-level field of a document that the change contains. It returns the
// complete new text, which the caller must validate with Read.
func Patch(text, change []byte) ([]byte, []string) {
	r := &reader{}
	root, ok := r.read(change)
	if !ok {
		return nil, r.faults
	}
	r.object(root, topLevelFields...)
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	var whole, named map[string]json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, []string{".: parsing the current description failed: " + err.Error()}
	}
	if err := json.Unmarshal(change, &named); err != nil {
		return nil, []string{".: " + err.Error()}
	}
	for name, part := range named {
		whole[name] = part
	}
	// The fields are written in a fixed order, so that the same content gives the same text.
	var out bytes.Buffer
	out.WriteString("{")
	for _, name := range topLevelFields {
		part, ok := whole[name]
		if !ok {
			continue
		}
		if out.Len() > 1 {
			out.WriteString(",")
		}
		label, _ := json.Marshal(name)
		out.Write(label)
		out.WriteString(":")
		out.Write(part)
	}
	out.WriteString("}")
	return out.Bytes(), nil
}
