package callerapi

// The headers of requests and responses.
const (
	HeaderRequestID    = "Gentian-Request-Id"
	HeaderAttempt      = "Gentian-Attempt"
	HeaderTried        = "Gentian-Tried"
	HeaderKind         = "Gentian-Kind"
	HeaderDeadline     = "Gentian-Deadline-Ms"
	HeaderPrefixTokens = "Gentian-Prefix-Tokens"
	HeaderIncarnation  = "Gentian-Incarnation"
	HeaderLength       = "Gentian-Answer-Length"
	HeaderChecksum     = "Gentian-Answer-Checksum"
	HeaderKey          = "Idempotency-Key"
)

// The types of the server-sent events that end a streamed answer.
const (
	EventEnd   = "gentian-end"
	EventError = "gentian-error"
)
