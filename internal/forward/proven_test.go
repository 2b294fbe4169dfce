package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/upconn"
)

// Guards against instances that count as losing answers because they refused a request, were slow
// or answered with an error, or because the caller left.
func TestOnlyLostAnswersAreLosses(t *testing.T) {
	for _, err := range []error{
		io.EOF, fmt.Errorf("%w: %w", errAnswerCut, io.ErrUnexpectedEOF), syscall.ECONNRESET, errPartialEvent, errUnverifiable,
	} {
		require.True(t, isLoss(err), "%v", err)
	}
	for _, err := range []error{
		&refusedError{}, &serverError{status: 500}, errHeadTimeout, context.Canceled, context.DeadlineExceeded, &lowConfidenceError{},
		fmt.Errorf("%w: %w", errAnswerCut, net.ErrClosed), &upconn.NotSentError{Cause: io.EOF}, errors.New("other"),
	} {
		require.False(t, isLoss(err), "%v", err)
	}
}
