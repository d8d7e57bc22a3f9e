// Package httpplatform speaks to the platform's services over HTTP and JSON.
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
)

const (
	maxReply = 16 << 20
	// dialPause bounds how long a connection is kept idle: a platform that
	// forgot a connection is met by a new one soon.
	idleTimeout = 20 * time.Second
)

// Client implements Table, Objects and HostList. CallTimeout bounds each
// call, so a connection that went silent costs one call and is then closed.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// New makes a client for a base URL such as http://127.0.0.1:7000. Its
// connections start from the IP number from, or from any when it is nil.
func New(base string, from net.IP, callTimeout time.Duration) *Client {
	dialer := net.Dialer{Timeout: callTimeout}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	t := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}
	return &Client{base: base, timeout: callTimeout, http: &http.Client{Transport: t}}
}

// Close drops the idle connections.
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

func (c *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The body has no GetBody and writes are POSTs, so net/http sends each
	// call once: a repeated conditional write would look like a lost race.
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return failure.Wrap(failure.StoreDown, err, "platform %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.StoreDown, "platform %s answered %d", path, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	return failure.Wrap(failure.StoreDown, json.Unmarshal(text, into), "platform %s", path)
}
