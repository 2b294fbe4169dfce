package routes_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/test/cluster"
)

// rawExchange sends bytes to a daemon unchanged and returns what it receives until the daemon
// closes the connection.
func rawExchange(t *testing.T, address, text string) string {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(cluster.WaitTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	// A daemon that refuses a request before it has read all of it may reset the connection.
	// What was received before is the answer.
	data, _ := io.ReadAll(conn)
	return string(data)
}
