package bareserver

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
