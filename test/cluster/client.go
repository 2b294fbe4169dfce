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

// Ask is a chat request as a caller sends it.
type Ask struct {
	APIKey  string
	Model   string
	Prompt  string
	Kind    string
	Key     string
	Session string
	Stream  bool
	// DeadlineMS is left out when 0.
	DeadlineMS string
}

// Reply is what the caller got.
type Reply struct {
	Status int
	Header http.Header
	// Text is the answer as far as it came.
	Text string
	// Events counts the content events of a stream, and Done tells whether it
	// ended with [DONE].
	Events int
	Done   bool
	// Err is set for an error answer or event.
	Err *fault.Error
}

// Whole reports whether the caller holds a whole answer.
func (r Reply) Whole() bool { return r.Err == nil && r.Done }

// RequestID returns the id that the daemon gave the request.
func (r Reply) RequestID() string { return r.Header.Get(caller.HeaderRequest) }

// Body returns the JSON body of the request.
func (a Ask) Body() []byte {
	data, _ := json.Marshal(map[string]any{
		"model":    a.Model,
		"stream":   a.Stream,
		"messages": []map[string]string{{"role": "user", "content": a.Prompt}},
	})
	return data
}

// Send sends the request. The error is one of transport; whatever came before
// it is in the reply.
func (a Ask) Send(ctx context.Context, url string, each func(Reply)) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(a.Body()))
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+a.APIKey)
	for name, value := range map[string]string{
		caller.HeaderKind: a.Kind, caller.HeaderKey: a.Key, caller.HeaderSession: a.Session, caller.HeaderDeadline: a.DeadlineMS,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return Receive(req, each)
}

// Receive sends any request and reads its answer, streamed or not. each, when
// set, is called after every event.
func Receive(req *http.Request, each func(Reply)) (Reply, error) {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	reply := Reply{Status: resp.StatusCode, Header: resp.Header}
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readBody(reply, resp.Body)
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
		reply.event([]byte(data))
		if each != nil {
			each(reply)
		}
	}
	return reply, trace.Wrap(scanner.Err())
}

func readBody(reply Reply, body io.Reader) (Reply, error) {
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
	var whole struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	reply.Text = string(data)
	if json.Unmarshal(data, &whole) == nil && len(whole.Choices) > 0 {
		reply.Text = whole.Choices[0].Message.Content
	}
	reply.Done = true
	return reply, nil
}

// event takes one event of a stream in.
func (r *Reply) event(data []byte) {
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
