package callerapi

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gentianflow/gentianflow/internal/event"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/holder"
	"github.com/gentianflow/gentianflow/internal/intake"
)

// ErrorBody is the JSON body of every error response and error event.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure. Outcome states whether the request provably
// did not run.
type ErrorDetail struct {
	Code         failure.Code    `json:"code"`
	Message      string          `json:"message"`
	Outcome      failure.Outcome `json:"outcome"`
	RequestID    string          `json:"request_id,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

func errorBody(e *failure.Error, id string) ErrorBody {
	return ErrorBody{ErrorDetail{
		Code: e.Code, Message: e.Message, Outcome: e.Outcome(), RequestID: id, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}}
}

// RefusalBody returns the body of an answer to a request that was refused before the server got it, from its
// head as far as it was received. Where the head may tell of a resend, the outcome is unknown.
func RefusalBody(head []byte, code failure.Code, message string) []byte {
	text := strings.ToLower(string(head))
	complete := strings.HasSuffix(text, "\n\r\n") || strings.HasSuffix(text, "\n\n") || strings.Contains(text, "\r\n\r\n")
	resend := strings.Contains(text, strings.ToLower(HeaderTried)) || strings.Contains(text, strings.ToLower(HeaderAttempt))
	body, err := json.Marshal(errorBody(&failure.Error{Code: code, Message: message, Unproved: resend || !complete}, ""))
	if err != nil {
		return []byte(`{}`) // cannot happen: texts always marshal
	}
	return body
}

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

// encodeError responds to a call that was refused before this host held its
// request. A resend that is refused may have run through a host tried before, so
// it is not reported as provably not run.
func (a *API) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	e := *failure.From(err)
	intake.LeaveBody(ctx)
	if e.Code == failure.HostFull || e.Code == failure.TooSlow {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	e.Unproved = e.Unproved || isResend(ctx)
	a.deps.Events.Record(event.RequestRefused, event.Fields{Detail: string(e.Code)})
	writeError(w, &e, "")
}

// resendKey is the context key for whether the call resends a request.
type resendKey struct{}

func markResend(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, resendKey{}, r.Header.Get(HeaderTried) != "" || !firstAttempt(r.Header.Get(HeaderAttempt)))
}

func isResend(ctx context.Context) bool {
	v, ok := ctx.Value(resendKey{}).(bool)
	return ok && v
}

// refusalTime is how long a caller may take to read an error answer.
const refusalTime = 2 * time.Second

func writeError(w http.ResponseWriter, e *failure.Error, id string) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTime)) // else an unread one would be kept for good
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(errorBody(e, id)) // the caller may have disconnected
}

// encodeAnswer sends the answer of a request from its record, until the answer is
// complete or has failed.
func (a *API) encodeAnswer(ctx context.Context, w http.ResponseWriter, response any) error {
	rep := response.(*reply)
	unfollow := rep.record.AddReader()
	defer unfollow()
	w.Header().Set(HeaderRequestID, rep.record.Sub.ID.String())
	w.Header().Set(HeaderIncarnation, a.deps.Members.Self().Incarnation.String())
	if rep.stream {
		sendStream(ctx, w, rep)
		return nil
	}
	sendBuffered(ctx, w, rep)
	return nil
}

// keepAliveInterval is the interval of keep-alives to a waiting caller: interim
// responses before the answer begins, then comments in the event stream. A
// caller that receives nothing for a few intervals can treat the connection as
// dead, no matter how long its request waits.
const keepAliveInterval = 1 * time.Second

// stillWaiting is the code of a read that returned no data for keepAliveInterval.
const stillWaiting failure.Code = "still_waiting"

// read reads from the answer. It waits for at most keepAliveInterval and then
// fails with stillWaiting.
func read(ctx context.Context, a *holder.Answer, offset int) ([]byte, bool, error) {
	readCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
	defer cancel()
	data, ended, err := a.Read(readCtx, offset)
	if len(data) == 0 && !ended && readCtx.Err() != nil {
		return nil, false, &failure.Error{Code: stillWaiting}
	}
	return data, ended, err
}

// sendStream forwards data as it arrives. A failure before the first data is
// sent with its HTTP status. After that, an event ends the stream: EventEnd with
// length and checksum for a complete answer, EventError for a failure. A stream
// that ends without either is incomplete.
func sendStream(ctx context.Context, w http.ResponseWriter, rep *reply) {
	answer, id := rep.record.Answer(), rep.record.Sub.ID.String()
	control := http.NewResponseController(w)
	offset, started := rep.offset, false
	for {
		data, ended, err := read(ctx, answer, offset)
		if ctx.Err() != nil {
			// The caller may only have closed its sending side, and would take a response that
			// net/http completes for its answer.
			panic(http.ErrAbortHandler)
		}
		if failure.Is(err, stillWaiting) {
			if !started {
				w.WriteHeader(http.StatusProcessing)
			} else if _, werr := fmt.Fprint(w, ": alive\n\n"); werr != nil || control.Flush() != nil {
				return
			}
			continue
		}
		if err != nil && !started {
			writeError(w, failure.From(err), id)
			return
		}
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		offset += len(data)
		if len(data) > 0 {
			if _, werr := w.Write(data); werr != nil {
				return
			}
		}
		if length, _ := answer.LengthAndChecksum(); ended && offset >= length {
			endStream(w, answer, err, id)
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// StreamEnd is the data of EventEnd.
type StreamEnd struct {
	Length   int    `json:"length"`
	Checksum string `json:"xxh64"`
	ID       string `json:"request_id"`
}

func endStream(w http.ResponseWriter, answer *holder.Answer, err error, id string) {
	name := EventEnd
	length, sum := answer.LengthAndChecksum()
	var body any = StreamEnd{Length: length, Checksum: strconv.FormatUint(sum, 16), ID: id}
	if err != nil {
		name, body = EventError, errorBody(failure.From(err), id)
	}
	text, encErr := json.Marshal(body)
	if encErr != nil {
		return
	}
	if err == nil {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n") // the caller may have disconnected
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, text)
}

// sendBuffered waits for the complete answer and sends it as one response.
func sendBuffered(ctx context.Context, w http.ResponseWriter, rep *reply) {
	answer, id := rep.record.Answer(), rep.record.Sub.ID.String()
	var body []byte
	for {
		data, ended, err := read(ctx, answer, len(body))
		if ctx.Err() != nil {
			// The caller may only have closed its sending side, and would take a response that
			// net/http completes for its answer.
			panic(http.ErrAbortHandler)
		}
		if failure.Is(err, stillWaiting) {
			w.WriteHeader(http.StatusProcessing)
			continue
		}
		if err != nil {
			writeError(w, failure.From(err), id)
			return
		}
		body = append(body, data...)
		if length, _ := answer.LengthAndChecksum(); ended && len(body) >= length {
			break
		}
	}
	length, sum := answer.LengthAndChecksum()
	w.Header().Set(HeaderLength, strconv.Itoa(length))
	w.Header().Set(HeaderChecksum, strconv.FormatUint(sum, 16))
	status, contentType := answer.Head()
	if rep.record.Sub.Plain {
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.WriteHeader(status)
		_, _ = w.Write(body) // the caller may have disconnected; the answer is retained for the horizon
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newCompletion(body, rep.record))
}

// Completion is the body of a response of a model service that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the only choice of a completion. For chat completions, Message has
// the text as well.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Message      *Message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

// Message is the assistant's message of a chat completion.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chunk is one event of an engine's stream.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// newCompletion joins the texts of an engine's stream.
func newCompletion(stream []byte, r *holder.Record) Completion {
	var text strings.Builder
	for _, ev := range strings.Split(string(stream), "\n\n") {
		var c chunk
		data, ok := strings.CutPrefix(ev, "data: ")
		if !ok || json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Text)
			text.WriteString(ch.Delta.Content)
		}
	}
	choice := Choice{Text: text.String(), FinishReason: "stop"}
	object := "text_completion"
	if strings.HasSuffix(r.Sub.Path, "/chat/completions") {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text.String()}
	}
	return Completion{ID: r.Sub.ID.String(), Object: object, Created: time.Now().Unix(), Model: r.Sub.Service, Choices: []Choice{choice}}
}

func firstAttempt(header string) bool { return header == "" || header == "1" }
