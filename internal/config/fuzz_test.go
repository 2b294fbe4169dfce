package config

import (
	"os"
	"testing"
)

// FuzzCheckSite checks that CheckSite does not panic on any base and overlay, and
// that accepted documents can be merged.
func FuzzCheckSite(f *testing.F) {
	for _, name := range []string{"base.jsonc", "overlay-gothenburg.jsonc", "overlay-tbilisi.jsonc"} {
		text, err := os.ReadFile("../../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text), `{}`)
	}
	f.Add(`{"models":{"a/b":{"versions":{"~":{}}}}}`, `{"models":null}`)
	f.Add(`[]`, `{"kinds":{"k":null}}`)
	f.Fuzz(func(t *testing.T, base, overlay string) {
		if err := CheckSite([]byte(base), []byte(overlay), true); err != nil {
			_ = err.Error()
			return
		}
		doc, err := Merge([]byte(base), []byte(overlay))
		if err != nil {
			t.Fatalf("accepted and not mergeable: %v", err)
		}
		NewSnapshot(1, doc, nil)
	})
}
