package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/gentianflow/gentianflow/internal/admin"
	"github.com/gentianflow/gentianflow/internal/failure"
	"github.com/gentianflow/gentianflow/internal/member"
	"github.com/gentianflow/gentianflow/internal/upstream"
)

const (
	requestTimeout = 10 * time.Second
	maxReplyBytes  = 64 << 20
)

// adminClient calls the admin API of the entry hosts.
type adminClient struct {
	addresses []string
	token     string
	http      *http.Client
}

func newAdminClient(c *cli.Command) *adminClient {
	transport := upstream.CheckedTransport{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	return &adminClient{addresses: c.StringSlice("admin"), token: c.String("admin-token"), http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// get tries the addresses in turn until a call succeeds.
func (a *adminClient) get(ctx context.Context, path string, into any) error {
	var err error
	for _, address := range a.addresses {
		if err = a.getFrom(ctx, address, path, into); err == nil {
			return nil
		}
	}
	return err
}

func (a *adminClient) getFrom(ctx context.Context, address, path string, into any) error {
	return a.call(ctx, http.MethodGet, address, path, nil, into)
}

// post sends to the first address only. If the answer is lost, the operator
// repeats the call with the same change id.
func (a *adminClient) post(ctx context.Context, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode")
	}
	return a.call(ctx, http.MethodPost, a.addresses[0], path, text, into)
}

func (a *adminClient) call(ctx context.Context, method, address, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "%s", address)
	}
	req.ContentLength = int64(len(body))
	if a.token != "" {
		req.Header.Set("Authorization", "Bearer "+a.token)
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return failure.Wrap(failure.PeerSilent, err, "%s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return failure.Wrap(failure.PeerSilent, err, "%s", address)
	}
	if resp.StatusCode != http.StatusOK {
		var e admin.ErrorReply
		if json.Unmarshal(text, &e) != nil {
			return failure.New(failure.Internal, "%s answered %d", address, resp.StatusCode)
		}
		return failure.New(e.Code, "%s", e.Message)
	}
	return failure.Wrap(failure.Internal, json.Unmarshal(text, into), "%s", address)
}

// members returns the members that are not dead, as seen by the first host
// that answers.
func (a *adminClient) members(ctx context.Context) ([]member.Member, error) {
	var reply admin.MembersReply
	if err := a.get(ctx, "/v1/members", &reply); err != nil {
		return nil, err
	}
	var out []member.Member
	for _, m := range reply.Members {
		if m.State != member.Dead {
			out = append(out, m)
		}
	}
	return out, nil
}
