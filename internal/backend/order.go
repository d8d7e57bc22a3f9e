package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// ServerClient reads and sets the state of a model engine: its models, adapters,
// versions and role. It implements order.ServerClient.
type ServerClient struct{ w *Watcher }

// NewServerClient returns a client that uses a shared transport.
func NewServerClient(address string, t http.RoundTripper) *ServerClient {
	return &ServerClient{w: NewWatcher(address, t)}
}

type orderBody struct {
	Fence uint64 `json:"fence"`
	State string `json:"state"`
}

// State reads the server's current state.
func (c *ServerClient) State(ctx context.Context) (string, error) {
	var b orderBody
	err := c.w.get(ctx, "/v1/state", &b)
	return b.State, err
}

// Order tells the server to enter a state, under a fencing number. It fails with
// StaleFence when the server has seen a higher number.
func (c *ServerClient) Order(ctx context.Context, fence uint64, state string) error {
	text, err := json.Marshal(orderBody{Fence: fence, State: state})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.w.base+"/v1/orders", io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return failure.Wrap(failure.Internal, err, "build order")
	}
	req.ContentLength = int64(len(text))
	resp, err := c.w.client.Do(req)
	if err != nil {
		return failure.Wrap(failure.ServerLost, err, "order")
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return failure.New(failure.StaleFence, "the server has seen a fencing number above %d", fence)
	}
	return failure.New(failure.ServerError, "order answered %d", resp.StatusCode)
}
