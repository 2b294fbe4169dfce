package telemetry

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Callers are refused by the thousand, and a configuration comes into force in the same
// second. Operators look for the line that says so, and do not find it: it was one line too
// many, after those of the requests.
func TestRequestLinesDoNotCrowdOutOtherLines(t *testing.T) {
	var out bytes.Buffer
	b := NewLineWriter(&out)
	for i := range 3 * requestLinesPerSecond {
		fmt.Fprintf(b, "msg=request.done request=%d status=503\n", i)
	}
	fmt.Fprintln(b, "msg=config.in_force version=13")
	b.Close()
	require.Contains(t, out.String(), "config.in_force")
	require.Positive(t, b.Dropped())
}
