// Package httpplatform implements the interfaces of package platform over HTTP and JSON.
package httpplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/platform"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

const (
	maxReplyBytes = 16 << 20
	// idleTimeout is how long an idle connection is kept. It is short, so that a connection
	// that the platform has dropped is soon replaced by a new one.
	idleTimeout = 20 * time.Second
)

// Client implements platform.Table, platform.Objects and platform.HostList. Its timeout bounds
// each call, so a connection that stops responding costs one call and is then closed.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client for a base URL such as http://127.0.0.1:7000. Its connections use the
// source IP address, or any if it is nil. callTimeout bounds each call.
func New(base string, source net.IP, callTimeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: callTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}
	return &Client{base: base, timeout: callTimeout, http: &http.Client{Transport: upstream.CheckedTransport{Transport: transport}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := c.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

type applyRequest struct {
	Writes []platform.Write `json:"writes"`
}

type applyReply struct {
	Results []platform.WriteResult `json:"results"`
}

// Apply implements platform.Table.
func (c *Client) Apply(ctx context.Context, writes []platform.Write) ([]platform.WriteResult, error) {
	var reply applyReply
	body, err := json.Marshal(applyRequest{Writes: writes})
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode writes")
	}
	if err := c.call(ctx, http.MethodPost, "/table/apply", body, &reply); err != nil {
		return nil, err
	}
	if len(reply.Results) != len(writes) {
		return nil, failure.New(failure.StoreDown, "table answered %d of %d writes", len(reply.Results), len(writes))
	}
	return reply.Results, nil
}

type object struct {
	Content []byte `json:"content"`
}

// PutObject implements platform.Objects.
func (c *Client) PutObject(ctx context.Context, name string, content []byte) error {
	body, err := json.Marshal(object{Content: content})
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode object")
	}
	return c.call(ctx, http.MethodPost, "/objects/"+url.PathEscape(name), body, nil)
}

// GetObject implements platform.Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var o object
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &o)
	return o.Content, err
}

type hostsReply struct {
	Hosts []platform.Host `json:"hosts"`
}

// Hosts implements platform.HostList.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var reply hostsReply
	err := c.call(ctx, http.MethodGet, "/hosts", nil, &reply)
	return reply.Hosts, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The body has no GetBody and writes are POSTs, so net/http sends each call only once: a
	// repeated conditional write would look like a lost race.
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "platform request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.ContentLength = int64(len(body))
	resp, err := c.http.Do(req)
	if err != nil {
		return failure.Wrap(failure.StoreDown, err, "platform %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return failure.Wrap(failure.StoreDown, err, "platform %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.StoreDown, "platform %s answered %d", path, resp.StatusCode)
	}
	if result == nil {
		return nil
	}
	return failure.Wrap(failure.StoreDown, json.Unmarshal(data, result), "platform %s", path)
}
