package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

// Guards against callers that are led to daemons which must pass each request on, and against a
// directory that leads all callers to the few daemons that are not cut off.
func TestDirectoryLeavesOutCutOffDaemons(t *testing.T) {
	fleet := func(size, cutOff int) []member.Daemon {
		var out []member.Daemon
		for i := range size {
			d := member.Daemon{Incarnation: fmt.Sprint(i), CallerURL: fmt.Sprint("daemon-", i)}
			if i < cutOff {
				d.CutOff = []string{"engines"}
			}
			out = append(out, d)
		}
		return append(out, member.Daemon{Incarnation: "starting"})
	}
	require.Len(t, servingDaemons(fleet(8, 0)), 8)
	require.Len(t, servingDaemons(fleet(8, 3)), 5)
	require.Len(t, servingDaemons(fleet(8, 4)), 4)
	require.Len(t, servingDaemons(fleet(8, 5)), 8)
	require.Len(t, servingDaemons(fleet(8, 8)), 8)
	require.Empty(t, servingDaemons(fleet(0, 0)))
}
