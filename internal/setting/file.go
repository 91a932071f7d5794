package setting

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"sort"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
)

// File is a setting as operators write it and `settings get` prints it.
type File struct {
	Setting
	// IfVersion is the version of the object that the operator has read. The change is rejected if the object has changed
	// since.
	IfVersion *uint64 `json:"if_version,omitempty"`
}

// ParseFile parses and validates the text of a file. Errors name the file, the line or field, and a valid value.
func ParseFile(name string, raw []byte) (*File, error) {
	if len(raw) > MaxBytes {
		return nil, code.Errorf(code.BadSetting, name, "%d bytes, at most %d", len(raw), MaxBytes)
	}
	f := &File{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		return nil, describeDecodeError(name, raw, err)
	}
	if dec.More() {
		return nil, code.Errorf(code.BadSetting, name, "more text after the setting; want one JSON object")
	}
	f.applyDefaults()
	if err := f.check(); err != nil {
		return nil, inFile(name, err)
	}
	if err := f.checkStrict(); err != nil {
		return nil, inFile(name, err)
	}
	return f, nil
}

// inFile adds the name of a file to the field of a coded error.
func inFile(name string, err error) error {
	coded, ok := err.(*code.Error)
	if !ok {
		return err
	}
	return &code.Error{Code: coded.Code, Field: name + ": " + coded.Field, Text: coded.Text}
}

// unknownField matches the error of encoding/json for an unknown field.
var unknownField = regexp.MustCompile(`unknown field "([^"]*)"`)

// describeDecodeError converts an error of encoding/json to one that names the position in the file and a valid value.
func describeDecodeError(name string, raw []byte, err error) error {
	switch e := err.(type) {
	case *json.SyntaxError:
		return code.Errorf(code.BadSetting, position(name, raw, e.Offset), "not JSON: %v", e)
	case *json.UnmarshalTypeError:
		return code.Errorf(code.BadSetting, position(name, raw, e.Offset)+": "+strings.TrimPrefix(e.Field, "Setting."), "got %s, want %s", e.Value, validExample(e))
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return code.Errorf(code.BadSetting, name+": "+m[1], "no such field; did you mean %q? The fields are %s",
			closestName(m[1], fieldNames()), strings.Join(fieldNames(), ", "))
	}
	return code.Errorf(code.BadSetting, name, "can't be read: %v; want one JSON object such as %s", err, Example)
}

// Example is a complete setting, for help texts.
const Example = `{"kind":"engine","model":"risk","version":"v1","places":{"perth-a":12}}`

// position returns the file and line of an offset, as "name:line".
func position(name string, raw []byte, offset int64) string {
	offset = min(offset, int64(len(raw)))
	return fmt.Sprintf("%s:%d", name, 1+bytes.Count(raw[:offset], []byte("\n")))
}

// validExample describes a valid value for the type that the field has.
func validExample(e *json.UnmarshalTypeError) string {
	switch e.Type.Kind() {
	case reflect.Int, reflect.Uint64:
		return "a whole number such as 4"
	case reflect.String:
		return `a text such as "v1"`
	case reflect.Slice:
		return `a list such as ["POST"]`
	case reflect.Map:
		return `an object such as {"perth-a": 12}`
	}
	return "a " + e.Type.String()
}

// fieldNames returns the fields that an operator may write, in the order of the schema.
func fieldNames() []string {
	var names []string
	t := reflect.TypeFor[Setting]()
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		names = append(names, tag)
	}
	return append(names, "if_version")
}

// closestName returns the name with the smallest edit distance to word.
func closestName(word string, names []string) string {
	sorted := append([]string{}, names...)
	sort.SliceStable(sorted, func(i, j int) bool { return editDistance(word, sorted[i]) < editDistance(word, sorted[j]) })
	return sorted[0]
}

// editDistance returns the Levenshtein distance between a and b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// maxReplicas bounds the replicas in one data centre. A larger number is taken for a typing error.
const maxReplicas = 100_000

// methods are the HTTP methods that a non-idempotent rule may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// checkStrict applies the rules for an operator's file that do not apply to a setting that is already in force. This way a
// new rule never invalidates a setting in force.
func (f *File) checkStrict() error {
	total := 0
	for _, place := range sortedKeys(f.Places) {
		n := f.Places[place]
		if n > maxReplicas {
			return code.Errorf(code.BadSetting, "places."+place, "%d replicas, want at most %d", n, maxReplicas)
		}
		total += n
	}
	if f.Kind == Engine && f.MaxUnavailable > max(total, 1) {
		return code.Errorf(code.BadSetting, "max_unavailable", "%d is more than the %d replicas; want 1 to %d", f.MaxUnavailable, total, max(total, 1))
	}
	for client := range f.Clients {
		if strings.TrimSpace(client) == "" {
			return code.Errorf(code.BadSetting, "clients", "an empty client account; want a name such as \"default\"")
		}
	}
	for _, rule := range f.NonIdempotent {
		if err := checkRule(rule); err != nil {
			return err
		}
	}
	return nil
}

// checkRule checks a rule of non_idempotent: a method, or "METHOD /path-prefix".
func checkRule(rule string) error {
	method, prefix, hasPrefix := strings.Cut(rule, " ")
	known := false
	for _, m := range methods {
		known = known || m == method
	}
	if !known {
		return code.Errorf(code.BadSetting, "non_idempotent", "%q: %q is not a supported method; did you mean %q, such as \"POST /bookings\"?",
			rule, method, closestName(strings.ToUpper(method), methods))
	}
	if hasPrefix && !strings.HasPrefix(prefix, "/") {
		return code.Errorf(code.BadSetting, "non_idempotent", "%q: the path must begin with /, such as \"%s /bookings\"", rule, method)
	}
	return nil
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
