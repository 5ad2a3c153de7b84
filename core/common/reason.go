package common

// Reason is the cause of a refused request or of a retry; a metric counts the occurrences of each reason.
type Reason string

// Reasons for refusing a request.
const (
	// ReasonBadRequest means that the request is malformed or has an invalid field.
	ReasonBadRequest Reason = "bad-request"
	// ReasonBodyTooLarge means that the body of the request exceeds the size limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonUnknownAccount means that the access token is missing, malformed or belongs to no client account.
	ReasonUnknownAccount Reason = "unknown-account"
	// ReasonUnknownModel means that no model has the requested name.
	ReasonUnknownModel Reason = "unknown-model"
	// ReasonUnknownService means that no service has the requested name.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonNotAllowed means that the client account may not use the service, the adapter or the generation that it asked
	// for.
	ReasonNotAllowed Reason = "not-allowed"
	// ReasonNoConfiguration means that the router has no configuration yet that was loaded from its disk or confirmed by a
	// freshness proof.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonDraining means that the router is shutting down and accepts no new requests.
	ReasonDraining Reason = "draining"
	// ReasonOverloaded means that the request cannot start in time, or that the call ledger cannot hold a record of
	// another call.
	ReasonOverloaded Reason = "overloaded"
	// ReasonAccountLimit means that a rate or concurrency limit of the client account is reached.
	ReasonAccountLimit Reason = "account-limit"
	// ReasonDeadline means that the request did not start or finish before its deadline, or its caller left.
	ReasonDeadline Reason = "deadline"
	// ReasonNoEndpoint means that no endpoint of the service accepts requests.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonCutOff means that the process that got the request reaches no endpoint, neither itself nor through another one.
	ReasonCutOff Reason = "cut-off"
	// ReasonEndpointFailed means that the endpoint failed and the request may not be sent again.
	ReasonEndpointFailed Reason = "endpoint-failed"
	// ReasonRetryBudget means that the request failed and the retry budget is exhausted.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonEndpointLimit means that the endpoints of the service take no more requests now, by limits or pauses that
	// they have named.
	ReasonEndpointLimit Reason = "endpoint-limit"
	// ReasonCrashesEngines means that the request, or a part of its prompt, crashes engines.
	ReasonCrashesEngines Reason = "crashes-engines"
	// ReasonOriginUnknown means that the caller takes up a stream of which nobody knows the software version that began it, while
	// several versions serve or did lately. The caller can only begin anew.
	ReasonOriginUnknown Reason = "origin-unknown"
	// ReasonSoftwareGone means that no endpoint of the software version that began the stream or generation is left to go on with it.
	ReasonSoftwareGone Reason = "software-gone"
	// ReasonJournalLost means that the journal of a generation is lost; the generation cannot be resumed safely.
	ReasonJournalLost Reason = "journal-lost"
	// ReasonJournalUnavailable means that the journal of a generation cannot be reached; a retry may succeed.
	ReasonJournalUnavailable Reason = "journal-unavailable"
	// ReasonSuperseded means that another router or attempt has taken over the generation or call.
	ReasonSuperseded Reason = "superseded"
	// ReasonBadCursor means that the cursor in the Last-Event-ID header is invalid for the generation.
	ReasonBadCursor Reason = "bad-cursor"
	// ReasonKeyMissing means that a call that may not be repeated has no valid idempotency key.
	ReasonKeyMissing Reason = "key-missing"
	// ReasonKeyInvalid means that the idempotency key is malformed or its time lies too far in the future.
	ReasonKeyInvalid Reason = "key-invalid"
	// ReasonKeyExpired means that the idempotency key is older than the retention of the call ledger.
	ReasonKeyExpired Reason = "key-expired"
	// ReasonKeyReused means that the idempotency key belongs to another request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonLedgerUnavailable means that the call ledger cannot be reached.
	ReasonLedgerUnavailable Reason = "ledger-unavailable"
	// ReasonOutcomeUnknown means that the call may have run and is not sent again.
	ReasonOutcomeUnknown Reason = "outcome-unknown"
	// ReasonAnswerTooLarge means that the call ran, but its answer was too large to be recorded.
	ReasonAnswerTooLarge Reason = "answer-too-large"
	// ReasonInternal means that the error is not one of the other refusals.
	ReasonInternal Reason = "internal"
)

// Reasons for retrying a request, and for resuming a generation on another engine.
const (
	// RetryConnect means that the connection to the endpoint could not be established.
	RetryConnect Reason = "connect"
	// RetryReset means that the connection failed after the request may have been sent.
	RetryReset Reason = "reset"
	// RetrySilent means that the endpoint sent nothing within the timeout for a response.
	RetrySilent Reason = "silent"
	// RetryRefused means that the endpoint refused the request.
	RetryRefused Reason = "refused"
	// RetrySlow means that the endpoint had slowed down, and the stream of the generation was moved to another endpoint.
	RetrySlow Reason = "slow"
	// RetryHedge means that a second attempt at the request was started on another endpoint because the first was late.
	RetryHedge Reason = "hedge"
	// RetryLeaving means that the endpoint is draining and accepts no new requests.
	RetryLeaving Reason = "leaving"
	// RetryTransferred means that another router took over the generation.
	RetryTransferred Reason = "transferred"
	// RetryOversized means that the endpoint's response, or a part of it, exceeded a bound in bytes.
	RetryOversized Reason = "oversized"
	// RetryStalled means that the endpoint sent bytes, but for too long none that continued the stream.
	RetryStalled Reason = "stalled"
	// RetryForeign means that the endpoint sent something that is no part of the stream.
	RetryForeign Reason = "foreign"
	// RetrySoftware means that the endpoint runs another software version than the one that began the generation.
	RetrySoftware Reason = "software"
)

// RefusalReasons lists all reasons for refusing a request, that is, all that a Refusal may have.
var RefusalReasons = []Reason{
	ReasonBadRequest, ReasonBodyTooLarge, ReasonUnknownAccount, ReasonUnknownModel, ReasonUnknownService,
	ReasonNotAllowed, ReasonNoConfiguration, ReasonDraining, ReasonOverloaded, ReasonAccountLimit, ReasonDeadline,
	ReasonNoEndpoint, ReasonCutOff, ReasonEndpointFailed, ReasonRetryBudget, ReasonCrashesEngines, ReasonEndpointLimit, ReasonOriginUnknown, ReasonSoftwareGone,
	ReasonJournalLost, ReasonJournalUnavailable, ReasonSuperseded, ReasonBadCursor, ReasonKeyMissing, ReasonKeyInvalid, ReasonKeyExpired, ReasonKeyReused,
	ReasonLedgerUnavailable, ReasonOutcomeUnknown, ReasonAnswerTooLarge, ReasonInternal,
}

// RetryReasons lists all reasons for retrying a request or resuming a generation.
var RetryReasons = []Reason{
	RetryConnect, RetryReset, RetrySilent, RetryRefused, RetrySlow, RetryHedge, RetryLeaving, RetryTransferred,
	RetryOversized, RetryStalled, RetryForeign, RetrySoftware,
}
