package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Orderer speaks the order side of a model engine. It implements order.ServerClient.
type Orderer struct{ w *Watcher }

// NewOrderer makes an orderer over a shared transport.
func NewOrderer(address string, t http.RoundTripper) *Orderer {
	return &Orderer{w: NewWatcher(address, t)}
}

type orderBody struct {
	Fence uint64 `json:"fence"`
	State string `json:"state"`
}

// State reads the state that the server is in.
func (o *Orderer) State(ctx context.Context) (string, error) {
	var b orderBody
	err := o.w.get(ctx, "/v1/state", &b)
	return b.State, err
}

// Order asks for a state under a fencing number.
func (o *Orderer) Order(ctx context.Context, fence uint64, state string) error {
	text, err := json.Marshal(orderBody{Fence: fence, State: state})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, o.w.base+"/v1/orders", io.NopCloser(bytes.NewReader(text)))
	if err != nil {
		return failure.Wrap(failure.Internal, err, "build order")
	}
	req.ContentLength = int64(len(text))
	resp, err := o.w.client.Do(req)
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
