package httpbody

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/limit"
)

// Guards against bodies, and elements of JSON, that are decoded without memory for them, and against memory that is
// not free after them.
func TestBodiesAndElementsFitIntoTheMemory(t *testing.T) {
	const memory = 100_000
	r := Receiver{MaxBytes: memory, Memory: limit.NewByteBudget(memory), Refused: &atomic.Int64{}}
	post := func(body string) *http.Request {
		return httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	}
	for name, c := range map[string]struct {
		body string
		want fault.Kind
	}{
		"long":        {strings.Repeat("b", memory/bodyCopies), ""},
		"too long":    {strings.Repeat("b", memory/bodyCopies+1), fault.NoCapacity},
		"elements":    {"[" + strings.Repeat("0,", 1000) + "0]", ""},
		"in a string": {`["` + strings.Repeat(`,[\"{`, 1000) + `"]`, ""},
		"too many":    {"[" + strings.Repeat("0,", 2000) + "0]", fault.BodyTooLarge},
		"no JSON":     {"[", fault.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			request := post(c.body)
			body, err := r.Receive(httptest.NewRecorder(), request)
			if err == nil && strings.HasPrefix(c.body, "[") {
				var out []any
				err = body.DecodeJSON(request, &out, true)
			}
			if c.want == "" {
				require.NoError(t, err)
			} else {
				require.Equal(t, c.want, fault.From(err).Kind)
				require.Equal(t, fault.RanNo, fault.From(err).Ran)
			}
			body.Release()
			require.True(t, r.Memory.Take(memory), "all memory is free again")
			r.Memory.Release(memory)
		})
	}
}
