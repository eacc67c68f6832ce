package render

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/azurethread/azurethread/decide/change"
	"github.com/azurethread/azurethread/serve/admin"
)

// Conflict prints both versions of an entry side by side, with a row for every
// field in which they differ.
func Conflict(w io.Writer, c admin.Conflict) {
	yours, current := flatten(c.Yours), flatten(c.Current)
	t := NewTable(w, "field", "yours", "current")
	t.AppendRow(table.Row{"revision", fmt.Sprintf("based on %d", c.Expect), foundText(c.Found)})
	for _, k := range unionKeys(yours, current) {
		if y, n := yours[k], current[k]; y != n || c.Yours == nil {
			t.AppendRow(table.Row{k, orDash(y), orDash(n)})
		}
	}
	t.Render()
}

func foundText(revision uint64) string {
	if revision == 0 {
		return "no such entry"
	}
	return fmt.Sprintf("at %d", revision)
}

func unionKeys(a, b map[string]string) []string {
	var out []string
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if _, both := a[k]; !both {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// flatten returns the fields of a version that operators write, as text by
// dotted path.
func flatten(v *admin.Version) map[string]string {
	out := map[string]string{}
	switch {
	case v == nil:
	case v.Entry != nil:
		flattenInto(out, "", v.Entry)
	case v.Shift != nil:
		flattenInto(out, "", change.EntryOf(*v.Shift))
		out["author"] = v.Shift.Author
		out["state"] = string(v.Shift.State)
	case v.Service != nil:
		flattenInto(out, "", v.Service)
		delete(out, "revision")
	}
	return out
}

// flattenInto adds the fields of v by their JSON names, which operators know
// from their entry files. v must encode to a JSON object.
func flattenInto(out map[string]string, prefix string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	var m map[string]json.RawMessage
	if json.Unmarshal(raw, &m) != nil {
		return
	}
	for k, x := range m {
		if x[0] == '{' {
			flattenInto(out, prefix+k+".", x)
			continue
		}
		out[prefix+k] = unquote(x)
	}
}

// unquote returns the value of a JSON string, and any other value as it is.
func unquote(x json.RawMessage) string {
	var s string
	if json.Unmarshal(x, &s) == nil {
		return s
	}
	return string(x)
}
