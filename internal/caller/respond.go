package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"
	"go.opentelemetry.io/otel/trace"

	"github.com/hornbeamsill/hornbeamsill/internal/answer"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

// withTraceFrom returns base with the span context of ctx. Work that outlives the
// connection then stays in the trace of the caller.
func withTraceFrom(base, ctx context.Context) context.Context {
	return trace.ContextWithSpanContext(base, trace.SpanContextFromContext(ctx))
}

// chunkExtension holds the fields that the first chunk of a stream has in addition
// to those of OpenAI.
type chunkExtension struct {
	Request string `json:"request"`
	// Resume is a token with which any daemon can continue the stream.
	Resume string `json:"resume"`
}

// chunk is one event of a streamed answer in OpenAI's format.
type chunk struct {
	ID           string          `json:"id"`
	Object       string          `json:"object"`
	Created      int64           `json:"created"`
	Model        string          `json:"model"`
	Choices      []chunkChoice   `json:"choices"`
	Usage        *upstream.Usage `json:"usage,omitempty"`
	Hornbeamsill *chunkExtension `json:"hornbeamsill,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completion is a complete answer in OpenAI's format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *upstream.Usage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// responder writes one answer to one connection.
type responder struct {
	server *Server
	c      *gin.Context
	id     string
	// after is the offset of the last event that the caller already has, or -1.
	after        int
	includeUsage bool
}

// setHeaders sets the response headers that describe the answer. Answers of plain
// services have only the request id.
func (r *responder) setHeaders(head *answer.Head) {
	r.c.Header(HeaderRequest, r.id)
	if head.Version.Model == "" {
		return
	}
	r.c.Header(HeaderSession, head.Session)
	r.c.Header(HeaderModel, head.Version.Model)
	r.c.Header(HeaderVersion, head.Version.Version)
	r.c.Header(HeaderResume, head.Resume)
}

// attach counts this connection as a reader of the answer if the answer is at this
// daemon. The caller must call the returned function when it stops reading.
func (r *responder) attach(reader Reader) func() {
	if local, ok := reader.(*answer.Answer); ok {
		return local.Attach(r.server.Clock.Now)
	}
	return func() {}
}

// writeWhole waits for the end of the answer and writes it as one response.
func (r *responder) writeWhole(reader Reader) {
	defer r.attach(reader)()
	view, err := readWhole(r.c.Request.Context(), reader, r.after)
	if err != nil {
		r.server.writeError(r.c, readFailure(err))
		return
	}
	if view.Err != nil {
		r.server.writeError(r.c, view.Err)
		return
	}
	if view.Head.HTTP != nil {
		r.writeServiceAnswer(view)
		return
	}
	r.setHeaders(view.Head)
	r.c.JSON(http.StatusOK, r.completion(view))
}

func (r *responder) completion(view answer.View) completion {
	var text strings.Builder
	for _, e := range view.Events {
		text.WriteString(e.Delta)
	}
	last := view.Events[len(view.Events)-1]
	return completion{
		ID:      r.id,
		Object:  "chat.completion",
		Created: view.Head.Created.Unix(),
		Model:   view.Head.Version.String(),
		Usage:   last.Usage,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: text.String()},
			FinishReason: last.FinishReason,
		}},
	}
}

// writeServiceAnswer writes the answer of a plain service.
func (r *responder) writeServiceAnswer(view answer.View) {
	for name, values := range view.Head.HTTP.Header {
		for _, v := range values {
			r.c.Writer.Header().Add(name, v)
		}
	}
	r.c.Header(HeaderRequest, r.id)
	body := view.Events[len(view.Events)-1].Delta
	r.c.Writer.WriteHeader(view.Head.HTTP.Status)
	_, _ = r.c.Writer.WriteString(body)
}

// readWhole reads an answer to its end.
func readWhole(ctx context.Context, reader Reader, after int) (answer.View, error) {
	var all answer.View
	for {
		view, err := reader.Wait(ctx, after, all.Head != nil)
		if err != nil {
			return answer.View{}, err
		}
		if view.Head != nil {
			all.Head = view.Head
		}
		all.Events = append(all.Events, view.Events...)
		after += len(view.Events)
		if !view.Done {
			continue
		}
		all.Done, all.Err = true, view.Err
		if view.Err == nil && (all.Head == nil || len(all.Events) == 0) {
			all.Err = fault.New(fault.AnswerCut, "the answer has no end").WithRan(fault.RanUnknown)
		}
		return all, nil
	}
}

// readFailure returns the error to report if an answer cannot be read. The request
// may still be running.
func readFailure(err error) error {
	if f := fault.From(err); f.Kind != fault.Internal {
		return f
	}
	return fault.New(fault.AnswerCut, "the answer cannot be read here: %v", err).WithRan(fault.RanUnknown)
}

// writeStream writes the answer as server-sent events as they arrive. The id of an
// event is its offset. The stream ends with [DONE] if the answer is complete, and
// with an error event otherwise.
func (r *responder) writeStream(reader Reader) {
	defer r.attach(reader)()
	ctx := r.c.Request.Context()
	var head *answer.Head
	for {
		view, err := reader.Wait(ctx, r.after, head != nil)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.writeStreamError(head != nil, readFailure(err))
			return
		}
		if head == nil && view.Head != nil {
			head = view.Head
			r.startStream(head)
		}
		for _, event := range view.Events {
			r.writeAnswerEvent(head, event)
			r.after = event.Offset
		}
		if head != nil {
			// Flushing before the head is known would send status 200, and an error that
			// follows would look like an answer.
			r.c.Writer.Flush()
		}
		if !view.Done {
			continue
		}
		if view.Err != nil {
			r.writeStreamError(head != nil, view.Err)
			return
		}
		fmt.Fprint(r.c.Writer, "data: [DONE]\n\n")
		return
	}
}

// startStream sends the headers and the first chunk, which has no text.
func (r *responder) startStream(head *answer.Head) {
	r.setHeaders(head)
	r.c.Header("Content-Type", "text/event-stream")
	r.c.Header("Cache-Control", "no-cache")
	r.c.Writer.WriteHeaderNow()
	first := r.chunk(head, chunkDelta{Role: "assistant"}, nil)
	first.Hornbeamsill = &chunkExtension{Request: r.id, Resume: head.Resume}
	r.writeEvent(-1, first)
}

func (r *responder) chunk(head *answer.Head, delta chunkDelta, finish *string) chunk {
	return chunk{
		ID:      r.id,
		Object:  "chat.completion.chunk",
		Created: head.Created.Unix(),
		Model:   head.Version.String(),
		Choices: []chunkChoice{{Delta: delta, FinishReason: finish}},
	}
}

// writeAnswerEvent writes an event of the answer. The last event is followed by the
// usage if the caller asked for it.
func (r *responder) writeAnswerEvent(head *answer.Head, event answer.Event) {
	var finish *string
	if event.FinishReason != "" {
		finish = &event.FinishReason
	}
	r.writeEvent(event.Offset, r.chunk(head, chunkDelta{Content: event.Delta}, finish))
	if finish == nil || !r.includeUsage {
		return
	}
	usage := r.chunk(head, chunkDelta{}, nil)
	usage.Choices = []chunkChoice{}
	usage.Usage = event.Usage
	r.writeEvent(-1, usage)
}

// writeEvent writes one server-sent event, without an id if offset is negative.
func (r *responder) writeEvent(offset int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	if offset >= 0 {
		fmt.Fprintf(r.c.Writer, "id: %d\n", offset)
	}
	fmt.Fprintf(r.c.Writer, "data: %s\n\n", data)
}

// writeStreamError reports an error: as the response if nothing has been sent yet,
// and as the last event otherwise.
func (r *responder) writeStreamError(opened bool, err error) {
	if !opened {
		r.server.writeError(r.c, err)
		return
	}
	f := fault.From(err)
	f.RequestID = r.id
	r.writeEvent(-1, f.ToBody())
	r.c.Writer.Flush()
}
