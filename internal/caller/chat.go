package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/hornbeamsill/hornbeamsill/internal/claim"
	"github.com/hornbeamsill/hornbeamsill/internal/config"
	"github.com/hornbeamsill/hornbeamsill/internal/dispatch"
	"github.com/hornbeamsill/hornbeamsill/internal/fault"
	"github.com/hornbeamsill/hornbeamsill/internal/httpbody"
	"github.com/hornbeamsill/hornbeamsill/internal/upstream"
)

const (
	// autoModel is the model name with which the caller leaves the choice of the model
	// to the router.
	autoModel = "auto"
	// defaultKind is the kind of a request without HeaderKind.
	defaultKind = "default"
	// maxKeyLen limits the length of an idempotency key, in bytes.
	maxKeyLen = 256
)

// content is the text of a message. In JSON it is a string or a list of text parts.
type content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("want a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errors.New("only text parts are possible, not " + strconv.Quote(p.Type))
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// chatBody holds the supported fields of an OpenAI chat completion request.
type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string  `json:"role"`
		Content content `json:"content"`
	} `json:"messages"`
	Stream              bool     `json:"stream"`
	MaxTokens           int      `json:"max_tokens"`
	MaxCompletionTokens int      `json:"max_completion_tokens"`
	Temperature         *float64 `json:"temperature"`
	TopP                *float64 `json:"top_p"`
	Seed                *int64   `json:"seed"`
	Stop                any      `json:"stop"`
	N                   int      `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chatCall is a validated chat request.
type chatCall struct {
	snapshot     *config.Snapshot
	request      dispatch.Request
	body         *httpbody.Received
	key          *claim.Key
	digest       string
	includeUsage bool
}

// chat responds to a chat completion request.
func (s *Server) chat(c *gin.Context) {
	in, err := s.parseChat(c)
	if err != nil {
		s.writeError(c, err)
		return
	}
	reader, id, err := s.submitChat(c, in)
	if err != nil {
		s.writeError(c, err)
		return
	}
	r := responder{server: s, c: c, id: id, after: -1, includeUsage: in.includeUsage}
	if in.request.Chat.Stream {
		r.writeStream(reader)
		return
	}
	r.writeWhole(reader)
}

// parseChat reads and validates a chat request. The body of the result must be released.
func (s *Server) parseChat(c *gin.Context) (chatCall, error) {
	snapshot, organisation, err := s.authenticate(c)
	if err != nil {
		return chatCall{}, err
	}
	received, err := s.Bodies.Receive(c.Writer, c.Request)
	if err != nil {
		return chatCall{}, err
	}
	in, err := s.decodeChat(c, snapshot, organisation, received)
	if err != nil {
		received.Release()
	}
	return in, err
}

// decodeChat decodes and validates the body and the headers of a chat request.
func (s *Server) decodeChat(c *gin.Context, snapshot *config.Snapshot, organisation string, received *httpbody.Received) (chatCall, error) {
	var body chatBody
	if err := received.DecodeJSON(c.Request, &body, true); err != nil {
		return chatCall{}, err
	}
	chat, err := body.toChat()
	if err != nil {
		return chatCall{}, err
	}
	kindName, kind, err := workKind(c, snapshot)
	if err != nil {
		return chatCall{}, err
	}
	deadline, err := s.parseDeadline(c, kind.Deadline())
	if err != nil {
		return chatCall{}, err
	}
	req := dispatch.Request{
		Organisation: organisation,
		KindName:     kindName,
		Kind:         kind,
		Chat:         chat,
		Deadline:     deadline,
	}
	if err := selectModel(snapshot, organisation, body.Model, &req); err != nil {
		return chatCall{}, err
	}
	if err := s.parseSession(c, &req); err != nil {
		return chatCall{}, err
	}
	in := chatCall{snapshot: snapshot, request: req, body: received, includeUsage: body.StreamOptions.IncludeUsage}
	in.key, err = parseIdempotencyKey(c, organisation, kind.KeyRequired)
	in.digest = digest([]byte(kindName), received.Data)
	in.request.HasIdempotencyKey = in.key != nil
	return in, err
}

// roles are the roles of messages.
var roles = []string{"system", "developer", "user", "assistant", "tool", "function"}

// toChat validates the body and converts it to an upstream.ChatRequest.
func (b chatBody) toChat() (upstream.ChatRequest, error) {
	chat := upstream.ChatRequest{
		MaxTokens:   max(b.MaxTokens, b.MaxCompletionTokens),
		Temperature: b.Temperature,
		TopP:        b.TopP,
		Seed:        b.Seed,
		Stream:      b.Stream,
	}
	switch {
	case b.Model == "":
		return chat, fault.New(fault.BadRequest, `model: missing; want "auto", a model, or model@version`)
	case len(b.Messages) == 0:
		return chat, fault.New(fault.BadRequest, "messages: at least one is needed")
	case b.N > 1:
		return chat, fault.New(fault.BadRequest, "n: only one answer is possible")
	case b.MaxTokens < 0 || b.MaxCompletionTokens < 0:
		return chat, fault.New(fault.BadRequest, "max_tokens: must not be negative")
	}
	for i, m := range b.Messages {
		if !slices.Contains(roles, m.Role) {
			return chat, fault.New(fault.BadRequest, "messages[%d].role: want one of %s, not %q", i, strings.Join(roles, ", "), m.Role)
		}
		chat.Messages = append(chat.Messages, upstream.Message{Role: m.Role, Content: string(m.Content)})
	}
	switch stop := b.Stop.(type) {
	case nil:
	case string:
		chat.Stop = []string{stop}
	case []any:
		for _, v := range stop {
			text, ok := v.(string)
			if !ok {
				return chat, fault.New(fault.BadRequest, "stop: want strings")
			}
			chat.Stop = append(chat.Stop, text)
		}
	default:
		return chat, fault.New(fault.BadRequest, "stop: want a string or a list of strings")
	}
	return chat, nil
}

// workKind returns the name and the definition of the request's kind.
func workKind(c *gin.Context, snapshot *config.Snapshot) (string, config.Kind, error) {
	name := c.GetHeader(HeaderKind)
	if name == "" {
		name = defaultKind
	}
	kind, ok := snapshot.Doc.Kinds[name]
	if !ok {
		return "", config.Kind{}, fault.New(fault.UnknownWorkKind, "%s: there is no kind %q", HeaderKind, name)
	}
	return name, kind, nil
}

// parseDeadline returns the deadline from the request header, or timeout from now if
// there is none. A longer time than maxTimeout is reduced to it.
func (s *Server) parseDeadline(c *gin.Context, timeout time.Duration) (time.Time, error) {
	text := c.GetHeader(HeaderDeadline)
	if text == "" {
		return s.Clock.Now().Add(timeout), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return time.Time{}, fault.New(fault.BadRequest, "%s: want milliseconds, not %q", HeaderDeadline, text)
	}
	if ms <= 0 {
		return time.Time{}, fault.New(fault.DeadlinePast, "%s: the deadline is past", HeaderDeadline)
	}
	const maxTimeoutMS = int64(24 * time.Hour / time.Millisecond)
	return s.Clock.Now().Add(time.Duration(min(ms, maxTimeoutMS)) * time.Millisecond), nil
}

// selectModel sets the model and the version of req from selector. It returns an
// error if they do not exist or the organisation may not use them.
func selectModel(snapshot *config.Snapshot, organisation, selector string, req *dispatch.Request) error {
	if selector == autoModel {
		return nil
	}
	name, version, pinned := strings.Cut(selector, "@")
	declared, ok := snapshot.Doc.Models[name]
	if !ok {
		return fault.New(fault.UnknownModel, "model: there is no model %q", name)
	}
	if _, ok := declared.Versions[version]; pinned && !ok {
		return fault.New(fault.UnknownModel, "model: %q has no version %q", name, version)
	}
	req.Model, req.Version = name, version
	for v := range declared.Versions {
		wanted := !pinned || v == version
		if wanted && snapshot.Allows(organisation, config.VersionRef{Model: name, Version: v}) {
			return nil
		}
	}
	return fault.New(fault.ModelNotAllowed, "model: the organisation may not use %q", selector)
}

// parseSession sets the session of req from the session token, if there is one.
func (s *Server) parseSession(c *gin.Context, req *dispatch.Request) error {
	token := c.GetHeader(HeaderSession)
	if token == "" {
		return nil
	}
	parsed, err := s.Signer.ParseSession(token)
	if err != nil {
		return fault.New(fault.BadSession, "%s: %v", HeaderSession, err)
	}
	if parsed.Organisation != req.Organisation {
		return fault.New(fault.BadSession, "%s: the session belongs to another organisation", HeaderSession)
	}
	req.Session, req.SessionToken = &parsed, token
	return nil
}

// parseIdempotencyKey returns the idempotency key of the request, or nil if there is
// none. It returns an error if a key is required but missing.
func parseIdempotencyKey(c *gin.Context, organisation string, required bool) (*claim.Key, error) {
	value := c.GetHeader(HeaderIdempotencyKey)
	switch {
	case value == "" && required:
		return nil, fault.New(fault.KeyRequired, "%s: this kind of request needs a key", HeaderIdempotencyKey)
	case value == "":
		return nil, nil
	case len(value) > maxKeyLen:
		return nil, fault.New(fault.BadRequest, "%s: longer than %d characters", HeaderIdempotencyKey, maxKeyLen)
	}
	return &claim.Key{Organisation: organisation, Value: value}, nil
}

// digest identifies the content of a request. It is stored with the idempotency key,
// so that the key cannot be used again for a different request.
func digest(parts ...[]byte) string {
	sum := sha256.New()
	for i, part := range parts {
		if i > 0 {
			sum.Write([]byte{0})
		}
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}

// submitChat starts the request, which releases its body at its end, or finds the earlier request with the same
// idempotency key. It returns a reader of the answer and the id of the request.
func (s *Server) submitChat(c *gin.Context, in chatCall) (Reader, string, error) {
	id := s.Requests.Next()
	reader, earlier, err := s.claimKey(c, in.key, in.digest, id)
	if err != nil || reader != nil {
		in.body.Release()
		return reader, earlier, err
	}
	tokens := in.request.Chat.MaxTokens
	if tokens == 0 {
		tokens = in.request.Kind.ExpectedTokens
	}
	release, err := s.admit(in.snapshot, in.request.Organisation, tokens)
	if err != nil {
		in.body.Release()
		s.releaseKey(in.key, id)
		return nil, "", err
	}
	req := in.request
	req.ID = id
	req.OnNotRun = func() { s.releaseKey(in.key, id) }
	out := s.Store.Create(id, req.Organisation)
	ctx := withTraceFrom(s.BaseContext, c.Request.Context())
	go func() {
		defer release()
		defer in.body.Release()
		ran := s.Dispatcher.Run(ctx, req, out)
		slog.InfoContext(ctx, "request.ended", "request", id, "organisation", req.Organisation, "kind", req.KindName, "ran", string(ran))
	}()
	return out, id, nil
}

// claimKey claims the idempotency key for the request id. If the key was used before,
// it returns a reader of the earlier answer and the id of the earlier request. It
// returns a nil reader if the request id may run, which also requires that this
// daemon accepts new requests. Without a key, only the latter is checked.
func (s *Server) claimKey(c *gin.Context, key *claim.Key, digest, id string) (Reader, string, error) {
	if key == nil {
		return nil, "", s.Directory.CheckAccepting()
	}
	decision, err := s.Claims.Resolve(c.Request.Context(), *key, digest, id)
	if err != nil {
		return nil, "", err
	}
	if decision.Run {
		if err := s.Directory.CheckAccepting(); err != nil {
			s.releaseKey(key, id)
			return nil, "", err
		}
		return nil, "", nil
	}
	reader, err := s.Answers.Find(c.Request.Context(), decision.RequestID, nil)
	if err != nil {
		f := fault.New(fault.AnswerGone, "the request with this key ran as %s; its answer is not kept any more", decision.RequestID).WithRan(fault.RanYes)
		f.RequestID = decision.RequestID
		return nil, "", f
	}
	return reader, decision.RequestID, nil
}

// releaseKey releases the idempotency key of a request that was not run.
func (s *Server) releaseKey(key *claim.Key, id string) {
	if key != nil {
		s.Claims.Release(*key, id)
	}
}

// admit checks the limits of the organisation. The caller must call the returned
// function when the request ends.
func (s *Server) admit(snapshot *config.Snapshot, organisation string, tokens int) (func(), error) {
	limits := snapshot.Doc.Organisations[organisation].Limits
	release, wait, ok := s.Limits.Admit(organisation, limits, tokens)
	if !ok {
		return nil, fault.New(fault.OverLimit, "organisation %q is over its limits", organisation).WithRetryAfter(wait)
	}
	return release, nil
}
