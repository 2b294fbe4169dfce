package peer

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Guards against states of engines that change in transit, and against a message cut short or
// with a wrong count that makes the receiver fail or allocate without bound.
func TestPackSurveyRoundTrip(t *testing.T) {
	all := []inventory.Surveyed{
		{Instance: 7, Running: 300, Waiting: 2, Parts: []inventory.PrefixHash{1, 1 << 31}},
		{Instance: 1 << 31},
	}
	packed := PackSurvey(all)
	require.Equal(t, all, UnpackSurvey(packed))
	require.Len(t, packed, SurveyedBytes(all[0])+SurveyedBytes(all[1]))
	for cut := range packed {
		require.LessOrEqual(t, len(UnpackSurvey(packed[:cut])), 1)
	}
	require.Empty(t, UnpackSurvey([]byte{0, 0, 0, 1, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f}))
}

// Guards against a daemon that takes the answer of an older one, which does not have the method, for
// knowledge.
func TestLearnedOfOlderDaemonIsAnError(t *testing.T) {
	older, err := Listen("127.0.0.1:0", nil, nil, Limits{})
	require.NoError(t, err)
	defer older.Close()
	client := NewClient(nil)
	defer client.Close()
	_, err = client.Learned(context.Background(), older.Address(), LearnedRequest{})
	require.ErrorContains(t, err, "can't find")
	require.True(t, client.HasConnections(), "the connection is still used")
}
