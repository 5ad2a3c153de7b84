package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"wasabiweir/core/common"
	"wasabiweir/core/object"
	"wasabiweir/io/serve"
)

const (
	// maxBodyBytes is the largest request body in bytes.
	maxBodyBytes = 8 << 20
	// defaultMaxTokens is the output limit of a request without max_tokens, as in the published completions API.
	defaultMaxTokens = 16
	// maxTokensLimit is the largest max_tokens that a request may set.
	maxTokensLimit = 1 << 20
)

// completionRequest is the JSON body of a completions request.
type completionRequest struct {
	Model string `json:"model"`
	// Prompt is a text or a list of token ids.
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Seed      uint64          `json:"seed"`
	Stream    bool            `json:"stream"`
	Adapter   string          `json:"adapter"`

	// promptText or promptIDs holds the decoded prompt; the other is empty.
	promptText string
	promptIDs  []uint32
}

// readBody reads the whole request body; its errors are refusals. The server's read timeout covers the headers and
// the body; net/http lifts it once the body has been read. The end of the router's work ends the read.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	stop := context.AfterFunc(r.ctx, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	defer stop()
	b, release, err := r.intake.ReadBody(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	context.AfterFunc(req.Context(), release)
	if r.ctx.Err() != nil {
		return nil, r.drainRefusal()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, common.NewNotRunRefusal(common.ReasonBodyTooLarge, "body", fmt.Sprintf("the body is larger than %d bytes", maxBodyBytes))
	}
	if errors.Is(err, serve.ErrNoRoom) {
		f := common.NewNotRunRefusal(common.ReasonOverloaded, "body", "the bodies of other requests take the memory of the router")
		f.RetryAfter = time.Second
		return nil, f
	}
	if err != nil {
		return nil, common.NewNotRunRefusal(common.ReasonBadRequest, "body", "the body could not be read: "+err.Error())
	}
	return b, nil
}

// parseCompletion decodes and validates a completions request; its errors are refusals that name the faulty field.
func parseCompletion(body []byte) (*completionRequest, error) {
	c := &completionRequest{MaxTokens: defaultMaxTokens}
	if err := json.NewDecoder(bytes.NewReader(body)).Decode(c); err != nil {
		return nil, common.NewNotRunRefusal(common.ReasonBadRequest, jsonErrorField(err), "the body is not valid JSON for a completion: "+err.Error())
	}
	if c.Model == "" {
		return nil, common.NewNotRunRefusal(common.ReasonBadRequest, "model", "the model is missing")
	}
	if c.MaxTokens < 1 || c.MaxTokens > maxTokensLimit {
		return nil, common.NewNotRunRefusal(common.ReasonBadRequest, "max_tokens", fmt.Sprintf("%d is not between 1 and %d", c.MaxTokens, maxTokensLimit))
	}
	return c, c.parsePrompt()
}

// parsePrompt decodes the prompt as a text or as a list of token ids; an empty prompt is refused.
func (c *completionRequest) parsePrompt() error {
	if json.Unmarshal(c.Prompt, &c.promptText) == nil && c.promptText != "" {
		return nil
	}
	if json.Unmarshal(c.Prompt, &c.promptIDs) == nil && len(c.promptIDs) > 0 {
		return nil
	}
	return common.NewNotRunRefusal(common.ReasonBadRequest, "prompt", "the prompt must be a text or a list of token ids, and not empty")
}

// jsonErrorField returns the field with the wrong type in a JSON decoding error, or "body" for any other error.
func jsonErrorField(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return mismatch.Field
	}
	return "body"
}

// requestAccount returns the client account that the request's bearer token belongs to.
func (v *ConfigView) requestAccount(req *http.Request) (object.Account, error) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return object.Account{}, common.NewNotRunRefusal(common.ReasonUnknownAccount, "Authorization", "the header must be Bearer and an access token")
	}
	return v.accountByToken(token)
}

// modelByName returns the model with the name, or a refusal if the configuration has none.
func (v *ConfigView) modelByName(name string) (object.Model, error) {
	m, ok := v.Graph.Models[name]
	if !ok {
		return m, common.NewNotRunRefusal(common.ReasonUnknownModel, "model", "there is no model "+name)
	}
	return m, nil
}
