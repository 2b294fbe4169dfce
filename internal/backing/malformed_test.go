package backing

import (
	"testing"

	"github.com/hornbeamsill/hornbeamsill/test/bareserver"
)

// Guards against answers with a malformed head that pass for the list of instances.
func TestMalformedAnswersAreRefused(t *testing.T) {
	bareserver.RequireRefused(t, "", "[]", func(address string) error {
		_, err := NewClient(address).ListInstances(t.Context())
		return err
	})
}
