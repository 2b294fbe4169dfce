package config

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// JSON pointers to the parts of a document that record evacuations.
const (
	upstreamsPointer = "/upstreams"
	evacuatedPointer = upstreamsPointer + "/evacuated"
)

// patchOperation is one operation of a JSON patch (RFC 6902).
type patchOperation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value,omitempty"`
}

// Evacuate returns the overlay with the evacuation of a failure domain added, which
// began at since. It keeps the comments of the overlay.
func Evacuate(overlay []byte, domain string, since time.Time) ([]byte, error) {
	if domain == "" {
		return nil, trace.BadParameter("failure domain: missing")
	}
	root, err := parseOverlay(overlay)
	if err != nil {
		return nil, err
	}
	var patch []patchOperation
	for _, parent := range []string{upstreamsPointer, evacuatedPointer} {
		if root.Find(parent) == nil {
			patch = append(patch, patchOperation{Op: "add", Path: parent, Value: struct{}{}})
		}
	}
	patch = append(patch, patchOperation{Op: "add", Path: evacuatedPointer + "/" + escapePointer(domain), Value: since.UTC()})
	return applyPatch(root, patch)
}

// Restore returns the overlay with the evacuation of a failure domain removed. It
// fails if the overlay does not evacuate the domain.
func Restore(overlay []byte, domain string) ([]byte, error) {
	root, err := parseOverlay(overlay)
	if err != nil {
		return nil, err
	}
	path := evacuatedPointer + "/" + escapePointer(domain)
	if domain == "" || root.Find(path) == nil {
		return nil, trace.NotFound("failure domain %q is not evacuated by this overlay", domain)
	}
	return applyPatch(root, []patchOperation{{Op: "remove", Path: path}})
}

func parseOverlay(text []byte) (hujson.Value, error) {
	if len(bytes.TrimSpace(text)) == 0 {
		text = []byte("{}")
	}
	root, err := hujson.Parse(text)
	return root, trace.Wrap(err)
}

func applyPatch(root hujson.Value, patch []patchOperation) ([]byte, error) {
	text, err := json.Marshal(patch)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := root.Patch(text); err != nil {
		return nil, trace.Wrap(err)
	}
	root.Format()
	return root.Pack(), nil
}
