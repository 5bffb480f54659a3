package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// DefaultText returns the default of f as JSON; "required" if the file must set it,
// "none" for a setting within the elements of an array.
func (f Field) DefaultText() string {
	s := Default()
	values := valuesAt(reflect.ValueOf(&s).Elem(), f.Path)
	if len(values) == 0 {
		return "none"
	}
	v := values[0].value
	switch {
	case v.Kind() == reflect.Slice:
		return "[]"
	case v.IsZero() && f.Rule.check(v) != "":
		return "required"
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Comment returns the comment for f in a documented settings file.
func (f Field) Comment() string {
	comment := fmt.Sprintf("%s Default %s; range %s", f.Text, f.DefaultText(), f.Rule.Range())
	if f.Unit != "" {
		comment += "; unit " + f.Unit
	}
	return comment + "."
}

// Table renders the fields as a table in Markdown, for docs/SETTINGS.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| setting | default | unit | range | what it is for |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for _, f := range Fields() {
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s |\n", f.Path, f.DefaultText(), f.Unit, f.Rule.Range(), f.Text)
	}
	return b.String()
}
