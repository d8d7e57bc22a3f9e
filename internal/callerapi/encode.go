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
)

// ErrorBody is the JSON of every failure told to a caller.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what failed and what that proves about the request.
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

func encodeJSON(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(response)
}

// encodeError answers a call that was refused before it was held. A resend
// that is refused here may have run through the host tried before.
func (a *API) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	e := *failure.From(err)
	e.Unproved = e.Unproved || isResend(ctx)
	a.src.Events.Record(event.RequestRefused, event.Fields{Detail: string(e.Code)})
	writeError(w, &e, "")
}

// resendKey marks the context of a call that resends a request.
type resendKey struct{}

func markResend(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, resendKey{}, r.Header.Get(HeaderTried) != "" || !firstAttempt(r.Header.Get(HeaderAttempt)))
}

func isResend(ctx context.Context) bool {
	v, ok := ctx.Value(resendKey{}).(bool)
	return ok && v
}

func writeError(w http.ResponseWriter, e *failure.Error, id string) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(errorBody(e, id)) // the caller may have left
}

// encodeAnswer follows a record to its final word.
func (a *API) encodeAnswer(ctx context.Context, w http.ResponseWriter, response any) error {
	rep := response.(*reply)
	leave := rep.record.Follow()
	defer leave()
	w.Header().Set(HeaderRequestID, rep.record.Sub.ID.String())
	w.Header().Set(HeaderIncarnation, a.src.Members.Self().Incarnation.String())
	if rep.stream {
		streamAnswer(ctx, w, rep)
		return nil
	}
	wholeAnswer(ctx, w, rep)
	return nil
}

// aliveInterval is how often a caller that waits is told that its connection
// lives: by an interim response before the answer begins, by a comment in the
// stream after that. A caller that hears nothing for a few intervals knows
// that the connection is dead, however long its request may wait.
const aliveInterval = 1 * time.Second

// stillWaiting is the code of a read that saw nothing for aliveInterval.
const stillWaiting failure.Code = "still_waiting"

func read(ctx context.Context, a *holder.Answer, offset int) ([]byte, bool, error) {
	short, cancel := context.WithTimeout(ctx, aliveInterval)
	defer cancel()
	data, ended, err := a.Read(short, offset)
	if len(data) == 0 && !ended && short.Err() != nil {
		return nil, false, &failure.Error{Code: stillWaiting}
	}
	return data, ended, err
}

// streamAnswer passes parts on as they arrive. Until the first one a failure
// has its HTTP status; after it, an event ends the stream: EventEnd with
// length and checksum for a whole answer, EventError for anything else. A
// stream without either is cut off.
func streamAnswer(ctx context.Context, w http.ResponseWriter, rep *reply) {
	answer, id := rep.record.Answer(), rep.record.Sub.ID.String()
	control := http.NewResponseController(w)
	offset, started := rep.offset, false
	for {
		data, ended, err := read(ctx, answer, offset)
		if ctx.Err() != nil {
			return
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
		if length, _ := answer.Whole(); ended && offset >= length {
			endStream(w, answer, err, id)
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}

// EndMark is the data of EventEnd.
type EndMark struct {
	Length   int    `json:"length"`
	Checksum string `json:"xxh64"`
	ID       string `json:"request_id"`
}

func endStream(w http.ResponseWriter, answer *holder.Answer, err error, id string) {
	name := EventEnd
	length, sum := answer.Whole()
	var body any = EndMark{Length: length, Checksum: strconv.FormatUint(sum, 16), ID: id}
	if err != nil {
		name, body = EventError, errorBody(failure.From(err), id)
	}
	text, encErr := json.Marshal(body)
	if encErr != nil {
		return
	}
	if err == nil {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n") // a caller that left is no failure
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, text)
}

// wholeAnswer waits for the end and answers once.
func wholeAnswer(ctx context.Context, w http.ResponseWriter, rep *reply) {
	answer, id := rep.record.Answer(), rep.record.Sub.ID.String()
	var all []byte
	for {
		data, ended, err := read(ctx, answer, len(all))
		if ctx.Err() != nil {
			return
		}
		if failure.Is(err, stillWaiting) {
			w.WriteHeader(http.StatusProcessing)
			continue
		}
		if err != nil {
			writeError(w, failure.From(err), id)
			return
		}
		all = append(all, data...)
		if length, _ := answer.Whole(); ended && len(all) >= length {
			break
		}
	}
	length, sum := answer.Whole()
	w.Header().Set(HeaderLength, strconv.Itoa(length))
	w.Header().Set(HeaderChecksum, strconv.FormatUint(sum, 16))
	status, contentType := answer.Head()
	if rep.record.Sub.Plain {
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.WriteHeader(status)
		_, _ = w.Write(all) // the caller may have left; the answer stays for the horizon
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(wholeCompletion(all, rep.record))
}

// Completion is the body of a whole answer of a model service.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is the one choice of a completion. Calls of the chat kind carry the
// text in Message as well.
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

// chunk is one streamed event of an engine.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func wholeCompletion(stream []byte, r *holder.Record) Completion {
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
