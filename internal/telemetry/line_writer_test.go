package telemetry

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against the loss of a rare, important line in a burst of request lines: if thousands
// of requests are refused in the second in which a configuration comes into force, a common
// rate limit drops the config.in_force line.
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
