package peer

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

// Evidence on errors must survive encoding, truncated input must yield only the complete records,
// and daemons of a build without Errors must read the other fields.
func TestPackErrorsRoundTrip(t *testing.T) {
	reports := []inventory.ErrorReport{{Instance: 1, Series: lowBits, First: true, Evidence: -32768}, {Instance: 2, Evidence: 32767}}
	states := []inventory.ErrorState{{Instance: 1, Sum: 80, Faulty: true}, {Instance: 1<<32 - 1, Sum: 1}}
	require.Equal(t, reports, UnpackErrors(PackErrors(reports)))
	require.Equal(t, states, UnpackErrorStates(PackErrorStates(states)))
	require.Equal(t, reports[:1], UnpackErrors(PackErrors(reports)[:2*errorReportBytes-1]))
	require.Equal(t, states[:1], UnpackErrorStates(PackErrorStates(states)[:2*errorStateBytes-1]))

	type older struct{ Amounts, Losses []byte }
	var message bytes.Buffer
	require.NoError(t, gob.NewEncoder(&message).Encode(FleetWork{Losses: []byte{7}, Errors: PackErrorStates(states)}))
	var old older
	require.NoError(t, gob.NewDecoder(&message).Decode(&old))
	require.Equal(t, older{Losses: []byte{7}}, old)
	require.NoError(t, gob.NewEncoder(&message).Encode(old))
	var work FleetWork
	require.NoError(t, gob.NewDecoder(&message).Decode(&work))
	require.Equal(t, FleetWork{Losses: []byte{7}}, work)
}
