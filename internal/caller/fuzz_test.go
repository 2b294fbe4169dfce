package caller

import (
	"encoding/json"
	"testing"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// FuzzChatBody decodes arbitrary bodies. Each must either be accepted with at least one
// message, or be refused as a bad request that was not run.
func FuzzChatBody(f *testing.F) {
	f.Add(`{"model":"auto","messages":[{"role":"user","content":"hi"}]}`)
	f.Add(`{"model":"auto","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"stop":["a"],"n":1}`)
	f.Add(`{"model":"m","messages":[{}],"stop":{}}`)
	f.Fuzz(func(t *testing.T, text string) {
		var body chatBody
		if json.Unmarshal([]byte(text), &body) != nil {
			return
		}
		chat, err := body.toChat()
		if err != nil {
			if e := fault.From(err); e.Kind != fault.BadRequest || e.Ran != fault.RanNo {
				t.Fatalf("%v", e)
			}
			return
		}
		if len(chat.Messages) == 0 {
			t.Fatal("accepted without messages")
		}
	})
}
