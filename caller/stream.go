package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentianflow/gentianflow/internal/callerapi"
	"github.com/gentianflow/gentianflow/internal/failure"
)

// newTransport returns a transport whose connections are of type countedConn.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
	}
}

// Read implements net.Conn. Incoming data resets the idle timer.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if idleTimer := c.idleTimer.Load(); n > 0 && idleTimer != nil {
		idleTimer.Reset(idleTimeout)
	}
	return n, err
}

const doneMarker = "[DONE]"

// readEvents reads a stream whose first byte has the given offset in the answer.
// It returns an error only if the stream breaks off or its data is inconsistent;
// anything else is an answer or a failure. Data that was received before must be
// identical when it is repeated.
func (k *call) readEvents(r io.Reader, offset int) (*Answer, *Failure, error) {
	lines := bufio.NewReader(r)
	var name string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return nil, nil, errInterrupted
		}
		line = strings.TrimSuffix(line, "\n")
		if value, ok := strings.CutPrefix(line, "event: "); ok {
			name = value
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == doneMarker {
			continue
		}
		switch name {
		case callerapi.EventEnd:
			return k.complete(data)
		case callerapi.EventError:
			return nil, k.eventFailure(data), nil
		}
		if offset, err = k.appendEvent(offset, data); err != nil {
			return nil, nil, err
		}
	}
}

// appendEvent appends the event at the given offset and returns the offset after
// it. If the event was received before, it only compares the data.
func (k *call) appendEvent(offset int, data string) (int, error) {
	framed := []byte("data: " + data + "\n\n")
	end := offset + len(framed)
	if end <= len(k.data) {
		if !bytes.Equal(k.data[offset:end], framed) {
			return offset, errInterrupted
		}
		return end, nil
	}
	if offset != len(k.data) {
		return offset, errInterrupted
	}
	if k.timeToFirst == 0 {
		k.timeToFirst = time.Since(k.started)
	}
	k.data = append(k.data, framed...)
	if k.req.OnData != nil {
		k.req.OnData(framed)
	}
	return end, nil
}

// complete checks length, checksum and request id of the answer against the end event.
func (k *call) complete(data string) (*Answer, *Failure, error) {
	var mark callerapi.StreamEnd
	if json.Unmarshal([]byte(data), &mark) != nil || mark.Length != len(k.data) || mark.ID != k.idText() ||
		mark.Checksum != strconv.FormatUint(xxhash.Sum64(k.data), 16) {
		return nil, nil, errInterrupted
	}
	return k.answer(), nil, nil
}

// eventFailure returns the failure that an error event of a stream states. The outcome of one that
// cannot be decoded is unknown, since the request was sent.
func (k *call) eventFailure(data string) *Failure {
	var body callerapi.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Code == "" {
		return &Failure{Code: string(failure.Internal), Outcome: string(failure.Unknown), RequestID: k.idText(), Message: "undecodable error event: " + data}
	}
	return failureOf(body.Error)
}
