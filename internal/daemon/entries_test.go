package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/backing"
	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/settings"
)

// Guards against errors at a planned restart: peers know a starting daemon from
// its first heartbeat, but must not list it in discovery until it has a
// configuration, signing keys and upstreams.
func TestDaemonIsAdvertisedOnlyWhenReady(t *testing.T) {
	memory := backing.NewMemory()
	n := NewNode(settings.Defaults(), memory, clockwork.NewFakeClock())
	n.callerURL = "http://here"
	other := NewNode(settings.Defaults(), memory, clockwork.NewFakeClock())
	listed := func() []caller.Entry {
		n.advertise()
		other.registry.Merge([]member.Daemon{n.registry.Self()})
		entries, _ := other.Entries()
		return entries
	}
	require.Empty(t, listed())
	_, err := n.config.Apply(context.Background(), config.ApplyRequest{ChangeID: "1", Text: `{}`})
	require.NoError(t, err)
	n.pollConfig(context.Background())
	require.Empty(t, listed(), "no upstream is known yet")
	n.pollInstances(context.Background())
	require.Len(t, listed(), 1)
}

// Guards against discovery answers that have all the daemons of a large site, or
// that have leaving daemons or those of other sites, and against a sample that
// leaves out some daemons in every answer.
func TestEntriesOfLargeSiteAreSampled(t *testing.T) {
	s := settings.Defaults()
	n := NewNode(s, backing.NewMemory(), clockwork.NewFakeClock())
	var daemons []member.Daemon
	for i := range 100 {
		d := member.Daemon{Incarnation: fmt.Sprintf("d%d", i), Site: s.Site, CallerURL: fmt.Sprintf("http://d%d", i)}
		switch {
		case i%10 == 0:
			d.State = member.Leaving
		case i%10 == 1:
			d.Site = "other"
		}
		daemons = append(daemons, d)
	}
	n.registry.Merge(daemons)
	seen := map[string]bool{}
	for range 200 {
		entries, _ := n.Entries()
		require.Len(t, entries, s.Limits.EntriesListed)
		for _, e := range entries {
			seen[e.Instance] = true
			require.True(t, strings.HasPrefix(e.KeyPrefix, e.Instance+"-"))
		}
	}
	require.Len(t, seen, 80)
}
