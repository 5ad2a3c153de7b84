package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// doneData is the data of the server-sent event that marks the end of an engine's output stream.
const doneData = "[DONE]"

// Request is a request to an engine for a generation. PromptIDs, the token ids of the prompt, replace Text if they are
// set.
type Request struct {
	Model string
	// Adapter is sent in place of the model's name if it is set, because engines select adapters by the model field.
	Adapter   string
	Text      string
	PromptIDs []uint32
	MaxTokens int
	Seed      uint64
	// Priority orders the engine's waiting queue; lower values run first.
	Priority  int
	RequestID string
}

const (
	// baseEventBytes is the largest size in bytes of an event of an output stream, apart from the token ids of the
	// prompt, which the first one repeats; maxTokenIDBytes is the size of one of them.
	baseEventBytes  = 256 << 10
	maxTokenIDBytes = 12
)

// maxEventBytes returns the largest size in bytes of an event of the generation's output stream. A token has at least
// one byte of the prompt's text.
func (r *Request) maxEventBytes() int {
	return baseEventBytes + maxTokenIDBytes*max(len(r.PromptIDs), len(r.Text))
}

// Chunk is a part of a generation's output. PromptIDs is set in the first chunk, and FinishReason in the last one.
type Chunk struct {
	TokenIDs     []uint32
	Text         string
	PromptIDs    []uint32
	FinishReason string
}

// Stream receives the output of a running generation. Close may be called while Recv blocks.
type Stream struct {
	// Software is the software version that the engine has reported with the reply, empty if it has reported none.
	Software string

	ctx      context.Context
	cancel   context.CancelFunc
	body     io.ReadCloser
	events   EventReader
	trace    *connTrace
	lastErr  error // returned by all later calls of Recv
	finished bool  // a chunk with a finish reason was received
}

// completionRequest is the JSON body of POST /v1/completions to an engine. Prompt is a string or a list of token ids.
type completionRequest struct {
	Model          string `json:"model"`
	Prompt         any    `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Seed           uint64 `json:"seed"`
	Priority       int    `json:"priority"`
	Stream         bool   `json:"stream"`
	ReturnTokenIDs bool   `json:"return_token_ids"`
	RequestID      string `json:"request_id,omitempty"`
}

// encodeBody returns the generation request as a JSON body of the completions API.
func (r *Request) encodeBody() ([]byte, error) {
	b := completionRequest{
		Model: r.Model, Prompt: r.Text, MaxTokens: r.MaxTokens, Seed: r.Seed, Priority: r.Priority,
		Stream: true, ReturnTokenIDs: true, RequestID: r.RequestID,
	}
	if r.Adapter != "" {
		b.Model = r.Adapter
	}
	if len(r.PromptIDs) > 0 {
		b.Prompt = r.PromptIDs
	}
	body, err := json.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("encode completions request: %w", err)
	}
	return body, nil
}

// StartGeneration starts a generation on the engine and returns its output stream once the engine has accepted it. The
// generation is cancelled when ctx ends. The error is an *Error.
func (c *Client) StartGeneration(ctx context.Context, r Request) (*Stream, error) {
	body, err := r.encodeBody()
	if err != nil {
		return nil, &Error{Kind: KindProtocol, Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	reply, t, err := c.sendRequest(ctx, http.MethodPost, "/v1/completions", body) //nolint:bodyclose // the stream closes it
	if err != nil {
		cancel()
		return nil, err
	}
	s := &Stream{ctx: ctx, cancel: cancel, body: reply.Body, events: EventReader{R: reply.Body, MaxEvent: r.maxEventBytes()}, trace: t}
	s.Software = reportedSoftware(reply.Header)
	if reply.StatusCode != http.StatusOK {
		defer s.Close()
		return nil, refusalError(reply)
	}
	if ct := reply.Header.Get("Content-Type"); !strings.HasPrefix(ct, "text/event-stream") {
		defer s.Close()
		return nil, &Error{Kind: KindProtocol, Sent: true, Err: eris.Errorf("content type %.40q instead of an event stream", ct)}
	}
	return s, nil
}

// Close cancels the generation on the engine, unless it has finished, and unblocks a waiting Recv.
func (s *Stream) Close() {
	s.cancel()
	_ = s.body.Close()
}

// Recv returns the next chunk of the generation's output. It returns io.EOF after a complete stream, and otherwise an
// *Error. Each call after an error returns the same error.
func (s *Stream) Recv() (Chunk, error) {
	if s.lastErr != nil {
		return Chunk{}, s.lastErr
	}
	c, err := s.nextChunk()
	if err == nil {
		return c, nil
	}
	var e *Error
	if !errors.Is(err, io.EOF) && !errors.As(err, &e) {
		err = classifyError(s.ctx, err, s.trace)
	}
	s.lastErr = err
	return Chunk{}, err
}

// nextChunk reads the next server-sent event of the engine's reply and decodes it into a chunk of output. It returns
// io.EOF after the event that marks the end of the stream.
func (s *Stream) nextChunk() (Chunk, error) {
	ev, err := s.events.Next()
	if errors.Is(err, io.EOF) {
		return Chunk{}, protocolError("stream ended without its last event")
	}
	if err != nil {
		return Chunk{}, err
	}
	if ev.Data == doneData {
		if !s.finished {
			return Chunk{}, protocolError("stream ended without a finish reason")
		}
		return Chunk{}, io.EOF
	}
	return s.decodeChunk(ev)
}

// decodeChunk decodes a server-sent event into a chunk of the generation's output. An error event and a chunk that
// breaks the protocol are returned as an *Error.
func (s *Stream) decodeChunk(ev Event) (Chunk, error) {
	var data struct {
		Choices []struct {
			Text           string   `json:"text"`
			TokenIDs       []uint32 `json:"token_ids"`
			PromptTokenIDs []uint32 `json:"prompt_token_ids"`
			FinishReason   string   `json:"finish_reason"`
		} `json:"choices"`
		Error *apiError `json:"error"`
	}
	if err := json.Unmarshal([]byte(ev.Data), &data); err != nil {
		return Chunk{}, &Error{Kind: KindProtocol, Sent: true, Err: fmt.Errorf("decode chunk: %w", err)}
	}
	if data.Error != nil {
		return Chunk{}, &Error{Kind: KindRefused, Sent: true, Code: data.Error.codeText(), Message: data.Error.Message}
	}
	if len(data.Choices) != 1 {
		return Chunk{}, protocolError("chunk without exactly one choice")
	}
	if s.finished {
		return Chunk{}, protocolError("chunk after the finish reason")
	}
	d := data.Choices[0]
	s.finished = d.FinishReason != ""
	return Chunk{TokenIDs: d.TokenIDs, Text: d.Text, PromptIDs: d.PromptTokenIDs, FinishReason: d.FinishReason}, nil
}

// protocolError returns an error of KindProtocol with the given message.
func protocolError(message string) *Error {
	return &Error{Kind: KindProtocol, Sent: true, Err: eris.New(message)}
}
