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

// A daemon starts and is known to the others at once. It is offered to callers
// only when it can serve them; a planned restart would show as errors.
func TestOfferedWhenReady(t *testing.T) {
	memory := backing.NewMemory()
	n := NewNode(settings.Defaults(), memory, clockwork.NewFakeClock())
	n.callerURL = "http://here"
	other := NewNode(settings.Defaults(), memory, clockwork.NewFakeClock())
	tell := func() []caller.Entry {
		n.offer()
		other.registry.Merge([]member.Daemon{n.registry.Self()})
		entries, _ := other.Entries()
		return entries
	}
	require.Empty(t, tell())
	_, err := n.config.Apply(context.Background(), config.ApplyRequest{ChangeID: "1", Text: `{}`})
	require.NoError(t, err)
	n.pollConfig(context.Background())
	require.Empty(t, tell(), "no upstream is known yet")
	n.pollList(context.Background())
	require.Len(t, tell(), 1)
}

// A caller of a large site is told of a few daemons, not of hundreds, never of
// one that leaves or of another site; over many answers of all of them.
func TestEntriesOfALargeSite(t *testing.T) {
	s := settings.Defaults()
	n := NewNode(s, backing.NewMemory(), clockwork.NewFakeClock())
	var news []member.Daemon
	for i := range 100 {
		d := member.Daemon{Incarnation: fmt.Sprintf("d%d", i), Site: s.Site, CallerURL: fmt.Sprintf("http://d%d", i)}
		switch {
		case i%10 == 0:
			d.State = member.Leaving
		case i%10 == 1:
			d.Site = "other"
		}
		news = append(news, d)
	}
	n.registry.Merge(news)
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
