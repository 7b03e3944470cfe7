package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// PatchFormat is the media type of a patch.
type PatchFormat string

// The supported patch formats.
const (
	// MergePatch is a JSON merge patch (RFC 7396).
	MergePatch PatchFormat = "application/merge-patch+json"
	// ListPatch is a JSON patch (RFC 6902), a list of operations.
	ListPatch PatchFormat = "application/json-patch+json"
)

// Fault is one validation error of a patched document.
type Fault struct {
	// Path is a JSON pointer into the document; empty if the patch as a whole failed.
	Path    string
	Message string
}

// Patch applies a patch to a document and returns the resulting changes, or all
// faults of the patched document. The document itself stays as it is.
func Patch(document *Document, format PatchFormat, body []byte) ([]Change, []Fault) {
	before, err := document.entities()
	if err != nil {
		return nil, []Fault{{Message: err.Error()}}
	}
	after, faults := patchEntities(before, format, body)
	if len(faults) > 0 {
		return nil, faults
	}
	faults = validate(after)
	if len(faults) > 0 {
		slices.SortFunc(faults, func(left, right Fault) int {
			return cmp.Or(cmp.Compare(left.Path, right.Path), cmp.Compare(left.Message, right.Message))
		})
		return nil, faults
	}
	return diffEntities(before, after), nil
}

// patchEntities applies a patch to an encoded document.
func patchEntities(before documentWire, format PatchFormat, body []byte) (documentWire, []Fault) {
	text, err := json.Marshal(before)
	if err != nil {
		return nil, []Fault{{Message: err.Error()}}
	}
	result, err := applyPatch(text, format, body)
	if err != nil {
		return nil, []Fault{{Message: err.Error()}}
	}
	var after documentWire
	if err := json.Unmarshal(result, &after); err != nil {
		return nil, []Fault{{Message: "the patched document is not an object of sections of entities: " + err.Error()}}
	}
	return after, nil
}

func applyPatch(text []byte, format PatchFormat, body []byte) ([]byte, error) {
	switch format {
	case MergePatch:
		return jsonpatch.MergePatch(text, body)
	case ListPatch:
		patch, err := jsonpatch.DecodePatch(body)
		if err != nil {
			return nil, err
		}
		return patch.Apply(text)
	default:
		return nil, fmt.Errorf("a patch of type %q is not known; use %q or %q", format, MergePatch, ListPatch)
	}
}

// diffEntities returns the changes from before to after, ordered by section and name.
func diffEntities(before, after documentWire) []Change {
	var changes []Change
	for _, section := range sections {
		names := map[string]bool{}
		for name := range before[section] {
			names[name] = true
		}
		for name := range after[section] {
			names[name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(names)) {
			old, value := before[section][name], after[section][name]
			if !sameJSON(old, value) {
				changes = append(changes, Change{Section: section, Name: name, Value: value})
			}
		}
	}
	return changes
}

func sameJSON(left, right json.RawMessage) bool {
	if bytes.Equal(left, right) {
		return true
	}
	return len(left) > 0 && len(right) > 0 && jsonpatch.Equal(left, right)
}
