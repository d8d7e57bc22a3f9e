package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// CheckedTransport is a transport that fails with ServerLost for answers with malformed headers.
type CheckedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var interim interimAnswers
	trace := &httptrace.ClientTrace{Got1xxResponse: interim.check}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err = CheckHead(resp); err == nil && interim.malformed.Load() {
		err = malformed("field name of an interim answer")
	}
	if err != nil {
		_ = resp.Body.Close() // nothing of it is used
		return nil, err
	}
	checkTrailer(resp)
	return resp, nil
}

// maxInterimAnswers is the limit that net/http has for requests without a trace.
const maxInterimAnswers = 5

// interimAnswers are the interim answers to one request.
type interimAnswers struct {
	count     atomic.Int64
	malformed atomic.Bool // one of them; net/http ignores the error if the request has a trace of its own
}

func (a *interimAnswers) check(_ int, header textproto.MIMEHeader) error {
	if err := checkNames(header); err != nil {
		a.malformed.Store(true)
		return err
	}
	if a.count.Add(1) > maxInterimAnswers {
		return malformed("over %d interim answers", maxInterimAnswers)
	}
	return nil
}
