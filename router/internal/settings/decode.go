package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder copies a syntax tree into Settings. It continues after a fault, so that
// all faults are reported together, and records the byte offset of each setting by
// its path.
type decoder struct {
	faults  *faultList
	offsets map[string]int
}

// value decodes v into dst, the setting or group of settings at path.
func (d *decoder) value(v hujson.Value, dst reflect.Value, path string) {
	d.offsets[path] = v.StartOffset
	switch dst.Kind() {
	case reflect.Struct:
		d.object(v, dst, path)
	case reflect.Slice:
		d.array(v, dst, path)
	default:
		d.scalar(v, dst, path)
	}
}

func (d *decoder) object(v hujson.Value, dst reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.faults.add(v.StartOffset, path, "want an object, got %s", describeValue(v))
		return
	}
	known := fieldsByKey(dst.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		key := m.Name.Value.(hujson.Literal).String()
		child := joinPath(path, key)
		index, ok := known[key]
		switch {
		case !ok:
			d.faults.add(m.Name.StartOffset, child, "unknown key; known here: %s", keyList(dst.Type()))
		case seen[key]:
			d.faults.add(m.Name.StartOffset, child, "given twice")
		default:
			d.value(m.Value, dst.Field(index), child)
		}
		seen[key] = true
	}
}

func (d *decoder) array(v hujson.Value, dst reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.faults.add(v.StartOffset, path, "want an array, got %s", describeValue(v))
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		d.value(e, dst.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// scalar decodes a string or a number. It refuses null, which json.Unmarshal would
// accept and leave dst at its default.
func (d *decoder) scalar(v hujson.Value, dst reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() == 'n' || json.Unmarshal(lit, dst.Addr().Interface()) != nil {
		d.faults.add(v.StartOffset, path, "want %s, got %s", expectedType(dst.Kind()), describeValue(v))
	}
}

// fieldsByKey maps the JSON keys of a struct type to the indexes of its fields.
func fieldsByKey(t reflect.Type) map[string]int {
	out := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		out[t.Field(i).Tag.Get("json")] = i
	}
	return out
}

func keyList(t reflect.Type) string {
	var keys []string
	for i := range t.NumField() {
		keys = append(keys, t.Field(i).Tag.Get("json"))
	}
	return strings.Join(keys, ", ")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// expectedType names the JSON type that is decoded into a Go kind.
func expectedType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}

// describeValue names the JSON type of a value in the file, with the value for a
// number.
func describeValue(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	default:
		return "the number " + string(v.Value.(hujson.Literal))
	}
}
