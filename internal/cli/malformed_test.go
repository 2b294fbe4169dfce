package cli

import (
	"bytes"
	"errors"
	"testing"

	"github.com/hornbeamsill/hornbeamsill/test/bareserver"
)

// Guards against answers with a malformed head that pass for those of a daemon.
func TestMalformedAnswersAreRefused(t *testing.T) {
	bareserver.RequireRefused(t, "", "{}", func(address string) error {
		var out, errs bytes.Buffer
		if code := Main([]string{"status", "--daemon", address}, &out, &errs); code != ExitOK {
			return errors.New(errs.String())
		}
		return nil
	})
}
