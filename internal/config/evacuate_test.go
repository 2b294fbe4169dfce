package config

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var since = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against an evacuation that removes comments or settings from the overlay.
func TestEvacuateKeepsRestOfOverlay(t *testing.T) {
	for _, overlay := range []string{"", "{}", "{\n  // hall-b is rewired.\n  \"upstreams\": {\"retry_ratio\": 0.2},\n}"} {
		text, err := Evacuate([]byte(overlay), "hall-b", since)
		require.NoError(t, err)
		text, err = Evacuate(text, "a/b~c", since)
		require.NoError(t, err)
		doc, err := Parse(text)
		require.NoError(t, err)
		require.Equal(t, map[string]time.Time{"hall-b": since, "a/b~c": since}, doc.Upstreams.Evacuated)
		if overlay != "" && overlay != "{}" {
			require.Contains(t, string(text), "// hall-b is rewired.")
			require.Equal(t, 0.2, doc.Upstreams.RetryRatio)
		}
		text, err = Restore(text, "a/b~c")
		require.NoError(t, err)
		doc, err = Parse(text)
		require.NoError(t, err)
		require.Equal(t, map[string]time.Time{"hall-b": since}, doc.Upstreams.Evacuated)
	}
}

// Guards against evacuations and restores that report success but change nothing.
func TestInvalidEvacuationsFail(t *testing.T) {
	_, err := Evacuate(nil, "", since)
	require.ErrorContains(t, err, "failure domain")
	_, err = Restore([]byte("{}"), "hall-b")
	require.ErrorContains(t, err, "hall-b")
	_, err = Evacuate([]byte("{"), "hall-b", since)
	require.Error(t, err)
}
