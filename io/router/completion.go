package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"wasabiweir/core/admit"
	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/core/stream"
	"wasabiweir/io/serve"
	"wasabiweir/io/wire"
)

const (
	// callerWriteDeadline bounds one write to a caller; a connection that accepts no data for longer counts as lost.
	callerWriteDeadline = 5 * time.Second
	// callerHeartbeat is the time without a token after which a comment line is sent, which shows the caller that the
	// stream is alive.
	callerHeartbeat = time.Second
	// cursorHeader is the request header with the cursor of the last event that a resuming caller received.
	cursorHeader = "Last-Event-ID"
)

// completionChunk is a streamed event or a whole response in the format of the published completions API.
type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *tokenUsage        `json:"usage,omitempty"`
}

// completionChoice is the generated text of a completionChunk; there is exactly one, with index 0.
type completionChoice struct {
	Index    int      `json:"index"`
	Text     string   `json:"text"`
	TokenIDs []uint32 `json:"token_ids"`
	// FinishReason is nil until the generation has ended.
	FinishReason *string `json:"finish_reason"`
}

// tokenUsage counts the tokens of a finished generation.
type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// serveCompletion handles a completions request: it starts a generation and sends the output as a stream or as one
// body.
func (r *Router) serveCompletion(w http.ResponseWriter, req *http.Request) {
	v, account, err := r.authenticate(req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	body, err := r.readBody(w, req)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	c, err := parseCompletion(body)
	if err != nil {
		r.refuse(w, req, err)
		return
	}
	ctx, cancel := r.requestContext(req)
	defer cancel()
	s, err := r.startGeneration(ctx, v, account, c)
	if err != nil {
		r.refuse(w, req, r.stopRefusal(req, err))
		return
	}
	if c.Stream {
		r.writeStream(w, req, s, streamPosition{})
		return
	}
	r.writeCompletion(w, req, s)
}

// startGeneration admits a completions request, waits until it may start, and starts its session with the caller as
// its only reader.
func (r *Router) startGeneration(ctx context.Context, v *ConfigView, account object.Account, c *completionRequest) (*session, error) {
	model, err := v.modelByName(c.Model)
	if err != nil {
		return nil, err
	}
	intent, err := v.intentFor(account.Name, model.Service, model.Name)
	if err != nil {
		return nil, err
	}
	if err := checkAdapter(intent, c.Adapter); err != nil {
		return nil, err
	}
	r.journal.awaitHolders(ctx)
	id := uuid.NewString()
	j, err := r.dispatcher.enqueue(model.Service, r.admissionRequest(v, account, intent, model, c, id))
	if err != nil {
		return nil, err
	}
	if err := r.dispatcher.waitForStart(ctx, j); err != nil {
		return nil, err
	}
	s := &session{
		router: r, id: id, account: account.Name, service: model.Service, job: j, readers: 1,
		params: resumeParameters{Intent: intent.Name, Adapter: c.Adapter, Text: c.promptText, Priority: intent.Priority},
		log:    r.Log.With(zap.String("request", id), zap.String("account", account.Name)),
	}
	s.owner = &stream.Owner{
		Epoch: stream.Epoch{Number: stream.FirstEpoch, Router: r.Name, Nonce: r.nonce.Add(1)},
		Set:   r.journal.chooseHolders(id),
		Record: stream.OpenRecord{
			ID: id, Account: account.Name, Service: model.Service, Model: model.Name,
			Prompt: c.promptIDs, Seed: c.Seed, MaxTokens: c.MaxTokens,
		},
	}
	if s.owner.Record.Parameters, err = wire.Marshal(s.params); err != nil {
		r.dispatcher.finishJob(j, false)
		return nil, fmt.Errorf("encode parameters: %w", err)
	}
	r.sessions.startSession(s)
	return s, nil
}

// admissionRequest returns the request with which a completion enters the admission queue of its service.
func (r *Router) admissionRequest(v *ConfigView, account object.Account, intent object.Intent, model object.Model, c *completionRequest, id string) admit.Request {
	return admit.Request{
		ID:              id,
		Account:         account.Name,
		Intent:          intent.Name,
		PromptTokens:    max(len(c.promptIDs), len(c.promptText)/bytesPerToken),
		MaxOutputTokens: c.MaxTokens,
		MaxShortTokens:  intent.ShortTokens,
		Priority:        intent.Priority,
		MaxWait:         time.Duration(v.Graph.Services[model.Service].WaitMS) * time.Millisecond,
	}
}

// checkAdapter returns a refusal if the routing intent does not list the adapter; an empty adapter is always allowed.
func checkAdapter(intent object.Intent, adapter string) error {
	if adapter == "" {
		return nil
	}
	for _, a := range intent.Adapters {
		if a == adapter {
			return nil
		}
	}
	return common.NewNotRunRefusal(common.ReasonNotAllowed, "adapter", "the routing intent "+intent.Name+" has no adapter "+adapter)
}

// writeStream sends the output batches of the generation after the given position to the caller as server-sent events,
// with heartbeats while there is no output.
func (r *Router) writeStream(w http.ResponseWriter, req *http.Request, s *session, at streamPosition) {
	defer s.removeReader(r.Clock.Now())
	ctl := http.NewResponseController(w)
	out := &eventWriter{w: w, ctl: ctl, model: s.owner.Record.Model, id: s.id}
	heartbeat := time.NewTimer(callerHeartbeat)
	defer heartbeat.Stop()
	for {
		batch, f, changed := s.batchesAfter(at)
		for _, e := range batch {
			if err := out.writeEvent(e); err != nil {
				return
			}
			at = e.endPosition()
		}
		if at.final {
			_ = out.writeDone()
			return
		}
		if f != nil {
			r.endStream(w, req, out, f)
			return
		}
		heartbeat.Reset(callerHeartbeat)
		select {
		case <-changed:
		case <-heartbeat.C:
			if !out.headersSent {
				continue
			}
			if err := out.write(": heartbeat\n\n"); err != nil {
				return
			}
		case <-req.Context().Done():
			return
		}
	}
}

// endStream tells the caller that the generation failed: with an error status before the first event, and with an
// error event after it.
func (r *Router) endStream(w http.ResponseWriter, req *http.Request, out *eventWriter, f *common.Refusal) {
	if !out.headersSent {
		r.refuse(w, req, f)
		return
	}
	r.Metrics.CountRefusal(f.Reason)
	data, err := json.Marshal(newErrorBody(f))
	if err != nil {
		return
	}
	_ = out.write("event: error\ndata: " + string(data) + "\n\n")
}

// writeCompletion sends the whole generation as one JSON body when it has ended. The generation is cancelled if the
// caller disconnects.
func (r *Router) writeCompletion(w http.ResponseWriter, req *http.Request, s *session) {
	defer s.removeReader(r.Clock.Now())
	var text strings.Builder
	var ids []uint32
	var at streamPosition
	for {
		batch, f, changed := s.batchesAfter(at)
		for _, e := range batch {
			at = e.endPosition()
			ids = append(ids, e.IDs...)
			text.WriteString(e.Text)
			if e.Finish == "" {
				continue
			}
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteDeadline))
			serve.WriteJSON(w, http.StatusOK, completionChunk{
				ID: s.id, Object: "text_completion", Model: s.owner.Record.Model,
				Choices: []completionChoice{{Text: text.String(), TokenIDs: ids, FinishReason: &e.Finish}},
				Usage:   newTokenUsage(len(s.owner.Record.Prompt), len(ids)),
			})
			return
		}
		if f != nil {
			r.refuse(w, req, f)
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			s.stop()
			return
		}
	}
}

// newTokenUsage returns the usage of a generation with the given numbers of prompt and output tokens.
func newTokenUsage(prompt, output int) *tokenUsage {
	return &tokenUsage{PromptTokens: prompt, CompletionTokens: output, TotalTokens: prompt + output}
}

// eventWriter writes server-sent events to one caller.
type eventWriter struct {
	w   http.ResponseWriter
	ctl *http.ResponseController
	// model and id are the model and the request id of the generation, which each server-sent event repeats.
	model string
	id    string
	// headersSent is true after the first write; an error can't change the HTTP status any more.
	headersSent bool
}

// writeEvent sends one released batch of output as a server-sent event whose id is the cursor after the batch.
func (o *eventWriter) writeEvent(e cursorBatch) error {
	c := completionChunk{ID: o.id, Object: "text_completion", Model: o.model, Choices: []completionChoice{{Text: e.Text, TokenIDs: e.IDs}}}
	if e.Finish != "" {
		c.Choices[0].FinishReason = &e.Finish
	}
	if c.Choices[0].TokenIDs == nil {
		c.Choices[0].TokenIDs = []uint32{}
	}
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode chunk: %w", err)
	}
	return o.write("id: " + e.cursor + "\ndata: " + string(data) + "\n\n")
}

// writeDone sends the [DONE] marker that ends a complete stream in the published completions API.
func (o *eventWriter) writeDone() error { return o.write("data: [DONE]\n\n") }

// write sends text to the caller and flushes it; the first write sends the response headers before it.
func (o *eventWriter) write(s string) error {
	if !o.headersSent {
		o.headersSent = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
		o.w.WriteHeader(http.StatusOK)
	}
	// Each write gets its own deadline, because a generation may run for minutes.
	_ = o.ctl.SetWriteDeadline(time.Now().Add(callerWriteDeadline))
	if _, err := o.w.Write([]byte(s)); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := o.ctl.Flush(); err != nil {
		return fmt.Errorf("flush to caller: %w", err)
	}
	return nil
}
