package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// leafPaths lists the paths of all settings in a type.
func leafPaths(t reflect.Type, path string) []string {
	switch t.Kind() {
	case reflect.Struct:
		var out []string
		for i := range t.NumField() {
			out = append(out, leafPaths(t.Field(i).Type, joinPath(path, t.Field(i).Tag.Get("json")))...)
		}
		return out
	case reflect.Slice:
		return append([]string{path}, leafPaths(t.Elem(), path+"[]")...)
	default:
		return []string{path}
	}
}

// TestEverySettingIsInTheTableInOrder guards against a setting that Fields does not
// document, and whose range is therefore not checked.
func TestEverySettingIsInTheTableInOrder(t *testing.T) {
	var got []string
	for _, f := range Fields() {
		got = append(got, f.Path)
	}
	if want := leafPaths(reflect.TypeOf(Settings{}), ""); !reflect.DeepEqual(got, want) {
		t.Errorf("Fields has\n%v\nwant\n%v", got, want)
	}
}

// TestSettingsPageHoldsTheTable guards against a page for operators that is out of date
// with Fields.
func TestSettingsPageHoldsTheTable(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(string(page), Table()) {
		t.Errorf("docs/SETTINGS.md must end with:\n%s", Table())
	}
}

// TestExamplesAreValidAndDocumented guards against an example that does not load, or
// whose comments differ from Fields.
func TestExamplesAreValidAndDocumented(t *testing.T) {
	for name, domains := range map[string][]string{
		ExampleCoop:   {"salle-rimouski", "salle-matane", "salle-riviere"},
		ExampleAgency: {"nyarugenge", "gasabo", "kicukiro"},
	} {
		data, err := Example(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(name, data); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		text := strings.Join(strings.Fields(strings.ReplaceAll(string(data), "//", " ")), " ")
		for _, d := range domains {
			if !strings.Contains(text, d) {
				t.Errorf("%s: failure domain %s is missing", name, d)
			}
		}
		for _, f := range Fields() {
			if !strings.Contains(text, f.Comment()) {
				t.Errorf("%s: %s lacks the comment: %s", name, f.Path, f.Comment())
			}
		}
	}
	if _, err := Example("nobody"); err == nil {
		t.Error("no error for a deployment without an example")
	}
}
