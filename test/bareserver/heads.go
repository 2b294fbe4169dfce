package bareserver

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Head is the beginning of an answer.
type Head struct {
	// Interim comes before the status line, and Fields after the other fields of the head.
	Interim, Status, Fields string
}

// Text returns the head with other fields, without the empty line at its end.
func (h Head) Text(fields string) string {
	status := h.Status
	if status == "" {
		status = "200 OK"
	}
	return h.Interim + "HTTP/1.1 " + status + "\r\n" + fields + h.Fields
}

// RequireRefused requires that a call to a server fails if the head of its answer is invalid. fields are those of a valid
// one, and body is its body.
func RequireRefused(t *testing.T, fields, body string, call func(address string) error) {
	t.Helper()
	require.NoError(t, call(Serve(t, Head{}.Text(fields)+ByLength.Whole(body))))
	for _, heads := range []map[string]Head{InvalidStatuses, InvalidNames, InvalidInterims} {
		for name, head := range heads {
			for _, framing := range Framings {
				require.Error(t, call(Serve(t, head.Text(fields)+framing.Whole(body))), "%s, %s", name, framing)
			}
		}
	}
}

// InvalidStatuses are heads whose status is no final one.
var InvalidStatuses = map[string]Head{
	"status 000": {Status: "000 OK"},
	"status 001": {Status: "001 OK"},
	"status 099": {Status: "099 OK"},
	"status +20": {Status: "+20 OK"},
	"status 600": {Status: "600 OK"},
	"status 999": {Status: "999 OK"},
}

// InvalidNames are heads with a field whose name or value is malformed.
var InvalidNames = map[string]Head{
	"blank in a name":            {Fields: "X Foo: a\r\n"},
	"blank before the colon":     {Fields: "X-Foo : a\r\n"},
	"tab in a name":              {Fields: "X\tFoo: a\r\n"},
	"control byte in a name":     {Fields: "X\x01Foo: a\r\n"},
	"NUL in a name":              {Fields: "X\x00Foo: a\r\n"},
	"control byte in a value":    {Fields: "X-Foo: a\x01b\r\n"},
	"no colon":                   {Fields: "X-Foo\r\n"},
	"blank before a length":      {Fields: "Content-Length : 9999\r\n"},
	"blank in Content-Length":    {Fields: "Content Length: 9999\r\n"},
	"blank before a coding":      {Fields: "Transfer-Encoding : chunked\r\n"},
	"blank in Transfer-Encoding": {Fields: "Transfer Encoding: chunked\r\n"},
	"blank in an interim name":   {Interim: "HTTP/1.1 103 Early Hints\r\nX Foo: a\r\n\r\n"},
}

// InvalidInterims are heads of, or after, an answer that no final one may follow.
var InvalidInterims = map[string]Head{
	"101":                 {Status: "101 Switching Protocols"},
	"interim 101":         {Interim: "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	"interim with a body": {Interim: "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n"},
	"interim with chunks": {Interim: "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
}
