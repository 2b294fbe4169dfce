package cluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/caller"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
)

// ChatRequest is a request for a chat completion. Kind, IdempotencyKey, Session and
// DeadlineMS are sent as headers, unless they are empty.
type ChatRequest struct {
	APIKey         string
	Model          string
	Prompt         string
	Kind           string
	IdempotencyKey string
	Session        string
	Stream         bool
	// DeadlineMS is the deadline in milliseconds, as text.
	DeadlineMS string
}

// Reply is the answer that a caller received, which may be incomplete.
type Reply struct {
	Status int
	Header http.Header
	// Text is the text of the answer received so far.
	Text string
	// Events is the number of content events of a stream. Done is true if the
	// stream ended with [DONE], and for a successful answer that is not streamed.
	Events int
	Done   bool
	// Err is set if the answer is an error or the stream has an error event.
	Err *fault.Error
}

// Complete reports whether the caller received a complete answer without error.
func (r Reply) Complete() bool { return r.Err == nil && r.Done }

// RequestID returns the request id that the daemon assigned.
func (r Reply) RequestID() string { return r.Header.Get(caller.HeaderRequest) }

// Body returns the JSON body of the request.
func (r ChatRequest) Body() []byte {
	data, _ := json.Marshal(map[string]any{
		"model":    r.Model,
		"stream":   r.Stream,
		"messages": []map[string]string{{"role": "user", "content": r.Prompt}},
	})
	return data
}

// Send sends the request to a daemon and reads the answer as Do does.
func (r ChatRequest) Send(ctx context.Context, url string, onEvent func(Reply)) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(r.Body()))
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+r.APIKey)
	for name, value := range map[string]string{
		caller.HeaderKind: r.Kind, caller.HeaderIdempotencyKey: r.IdempotencyKey, caller.HeaderSession: r.Session, caller.HeaderDeadline: r.DeadlineMS,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return Do(req, onEvent)
}

// Do sends any HTTP request and reads its answer, streamed or not. onEvent, if
// not nil, is called after every event with the reply so far. Errors that the
// daemon reports are in Reply.Err. The returned error is a transport error, or
// an error answer in an unknown format; the reply has what was received before.
func Do(req *http.Request, onEvent func(Reply)) (Reply, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	reply := Reply{Status: resp.StatusCode, Header: resp.Header}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readUnstreamed(reply, resp.Body)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			reply.Done = true
			continue
		}
		reply.addEvent([]byte(data))
		if onEvent != nil {
			onEvent(reply)
		}
	}
	return reply, trace.Wrap(scanner.Err())
}

// readUnstreamed reads an answer that is not streamed into reply.
func readUnstreamed(reply Reply, body io.Reader) (Reply, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return reply, trace.Wrap(err)
	}
	if reply.Status >= 300 {
		var failed fault.Body
		if json.Unmarshal(data, &failed) == nil && failed.Error.Kind != "" {
			reply.Err = fault.FromBody(failed)
			return reply, nil
		}
		return reply, trace.Errorf("status %d: %s", reply.Status, data)
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	reply.Text = string(data)
	if json.Unmarshal(data, &completion) == nil && len(completion.Choices) > 0 {
		reply.Text = completion.Choices[0].Message.Content
	}
	reply.Done = true
	return reply, nil
}

// addEvent adds one event of a stream to the reply.
func (r *Reply) addEvent(data []byte) {
	var failed fault.Body
	if json.Unmarshal(data, &failed) == nil && failed.Error.Kind != "" {
		r.Err = fault.FromBody(failed)
		return
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return
	}
	if content := chunk.Choices[0].Delta.Content; content != "" {
		r.Text += content
		r.Events++
	}
}
