package upstream

import (
	"testing"
	"time"

	"github.com/hornbeamsill/hornbeamsill/test/bareserver"
)

// Guards against answers with a malformed head that pass for the answer to a call, an order or an attempt.
func TestMalformedAnswersAreRefused(t *testing.T) {
	const event = "data: {\"attempt\":\"a\",\"finish_reason\":\"stop\"}\n\n"
	client := NewClient(time.Second)
	defer client.Close()
	for name, c := range map[string]struct {
		body string
		call func(address string) error
	}{
		"report": {"{}", func(address string) error { _, err := client.LoadReport(t.Context(), address); return err }},
		"order":  {"{}", func(address string) error { return client.SendOrder(t.Context(), address, Order{}) }},
		"cancel": {"", func(address string) error { return client.Cancel(t.Context(), address, "a") }},
		"stream": {event, func(address string) error {
			s, err := client.Start(t.Context(), address, Attempt{ID: "a"})
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) { bareserver.RequireRefused(t, "", c.body, c.call) })
	}
}
