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
)

// newTransport makes connections whose writes are counted.
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

// Read implements net.Conn. Every byte that arrives restarts the watch.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if quiet := c.quiet.Load(); n > 0 && quiet != nil {
		quiet.Reset(silenceLimit)
	}
	return n, err
}

const doneMark = "[DONE]"

// readEvents reads a stream whose first byte has the given offset. It
// returns an error only for a cut: anything else is an answer or a failure.
// What is here already must come again unchanged.
func (k *call) readEvents(r io.Reader, offset int) (*Answer, *Failure, error) {
	lines := bufio.NewReader(r)
	var name string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return nil, nil, errCut
		}
		line = strings.TrimSuffix(line, "\n")
		if value, ok := strings.CutPrefix(line, "event: "); ok {
			name = value
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == doneMark {
			continue
		}
		switch name {
		case callerapi.EventEnd:
			return k.end(data)
		case callerapi.EventError:
			return nil, eventFailure(data), nil
		}
		if offset, err = k.take(offset, data); err != nil {
			return nil, nil, err
		}
	}
}

// take adds one event at an offset.
func (k *call) take(offset int, data string) (int, error) {
	framed := []byte("data: " + data + "\n\n")
	end := offset + len(framed)
	if end <= len(k.data) {
		if !bytes.Equal(k.data[offset:end], framed) {
			return offset, errCut
		}
		return end, nil
	}
	if offset != len(k.data) {
		return offset, errCut
	}
	if k.first == 0 {
		k.first = time.Since(k.begun)
	}
	k.data = append(k.data, framed...)
	if k.req.OnData != nil {
		k.req.OnData(framed)
	}
	return end, nil
}

func (k *call) end(data string) (*Answer, *Failure, error) {
	var mark callerapi.EndMark
	if json.Unmarshal([]byte(data), &mark) != nil || mark.Length != len(k.data) || mark.ID != k.idText() ||
		mark.Checksum != strconv.FormatUint(xxhash.Sum64(k.data), 16) {
		return nil, nil, errCut
	}
	return k.answer(), nil, nil
}

func eventFailure(data string) *Failure {
	var body callerapi.ErrorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return localFailure(err)
	}
	return failureOf(body.Error)
}
