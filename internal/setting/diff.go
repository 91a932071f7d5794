package setting

import (
	"encoding/json"
	"sort"
)

// FieldChange is one field that differs between two settings. From and To are the values as JSON text, or "-" if the field
// is absent.
type FieldChange struct {
	// Field is the name of the field; "places.perth-a" for a field of an object.
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// absent stands for the value of a field that a setting does not have.
const absent = "-"

// metadataFields are the fields that change with every write. They are not shown as differences.
var metadataFields = map[string]bool{"change": true, "author": true, "at": true}

// Diff returns the fields in which two settings differ, sorted by name. nil stands for no setting. The fields of objects
// (places, clients) are compared one by one.
func Diff(from, to *Setting) []FieldChange {
	fromFields, toFields := flatten(from), flatten(to)
	var changes []FieldChange
	for field, oldValue := range fromFields {
		if newValue, found := toFields[field]; !found {
			changes = append(changes, FieldChange{Field: field, From: oldValue, To: absent})
		} else if newValue != oldValue {
			changes = append(changes, FieldChange{Field: field, From: oldValue, To: newValue})
		}
	}
	for field, newValue := range toFields {
		if _, found := fromFields[field]; !found {
			changes = append(changes, FieldChange{Field: field, From: absent, To: newValue})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

// flatten returns the fields of s as JSON text by name. Fields of objects are named "object.field".
func flatten(s *Setting) map[string]string {
	out := map[string]string{}
	if s == nil {
		return out
	}
	raw, err := json.Marshal(s)
	if err != nil {
		return out
	}
	var fields map[string]json.RawMessage
	_ = json.Unmarshal(raw, &fields)
	for name, value := range fields {
		if metadataFields[name] {
			continue
		}
		var parts map[string]json.RawMessage
		if json.Unmarshal(value, &parts) != nil {
			out[name] = string(value)
			continue
		}
		for part, v := range parts {
			out[name+"."+part] = string(v)
		}
	}
	return out
}
