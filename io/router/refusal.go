package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiweir/core/common"
	"wasabiweir/io/serve"
)

// errorBody is the JSON body of a refused request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail tells a caller why its request was refused, whether it ran, and when and where to try again.
type errorDetail struct {
	Reason  common.Reason  `json:"reason"`
	Outcome common.Outcome `json:"outcome"`
	// Field names the faulty field or header of the request.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// RetryAfterMS is the time in milliseconds after which a retry may succeed.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Address is another router that accepts requests.
	Address string `json:"address,omitempty"`
}

// newErrorBody returns the JSON body for a refusal.
func newErrorBody(f *common.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Reason:       f.Reason,
		Outcome:      f.Outcome,
		Field:        f.Field,
		Message:      f.Message,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
		Address:      f.Address,
	}}
}

// headRefusalBody returns the content type and the body of the response to a request that was refused for its head.
func headRefusalBody(reason common.Reason) (contentType string, body []byte) {
	// The marshalling of the body does not fail: its fields are strings and numbers.
	body, _ = json.Marshal(newErrorBody(common.NewNotRunRefusal(reason, "", "the header of the request takes too much memory")))
	return "application/json", body
}

// refuse logs and counts a refusal and sends it as the response; err must be or wrap a *common.Refusal, and any other
// error is sent as an internal one. It must not be called after the response has begun.
func (r *Router) refuse(w http.ResponseWriter, req *http.Request, err error) {
	f := common.AsRefusal(err)
	r.Metrics.CountRefusal(f.Reason)
	r.Log.Info("request-refused",
		zap.String("path", req.URL.Path),
		zap.String("reason", string(f.Reason)),
		zap.String("outcome", string(f.Outcome)),
		zap.String("field", f.Field),
		zap.String("detail", f.Message))
	if f.RetryAfter > 0 {
		seconds := (f.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteDeadline))
	serve.WriteJSON(w, f.Status(), newErrorBody(f))
}
