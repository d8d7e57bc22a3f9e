package upstream

import (
	"bytes"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// What net/http accepts of a server's answer and RFC 9112 does not is refused here: no part of such an answer is
// forwarded, since the fields that were meant to tell its length may not have been recognized.

// CheckHead checks the header of an answer that net/http has read. It fails with ServerLost.
func CheckHead(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return malformed("version %s", resp.Proto)
	case resp.StatusCode < http.StatusContinue:
		return malformed("status %03d", resp.StatusCode)
	case resp.StatusCode == http.StatusSwitchingProtocols: // never asked for
		return malformed("unexpected status %d", resp.StatusCode)
	}
	return checkNames(resp.Header)
}

func checkNames(h map[string][]string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("field name %q", shorten(name))
		}
	}
	return nil
}

// checkFraming checks the fields of a header that tell the length of the answer. net/http removes some of them.
func checkFraming(resp *http.Response, head []byte) error {
	length, hasLength := findField(head, "Content-Length")
	_, hasCoding := findField(head, "Transfer-Encoding")
	switch interim := isInterim(resp); {
	case hasCoding && interim, hasLength && interim && length != "0":
		return malformed("a body of status %d", resp.StatusCode)
	case hasCoding && !resp.ProtoAtLeast(1, 1):
		return malformed("a transfer coding of %s", resp.Proto)
	case hasCoding && hasLength:
		return malformed("a length and a transfer coding")
	}
	return nil
}

// isInterim reports whether another answer to the request follows.
func isInterim(resp *http.Response) bool { return resp.StatusCode < http.StatusOK }

// findField returns the value of the first field with a name in a header whose names were checked.
func findField(head []byte, name string) (value string, ok bool) {
	for line := range bytes.Lines(head) {
		have, value, _ := bytes.Cut(line, []byte{':'})
		if len(have) == len(name) && bytes.EqualFold(have, []byte(name)) {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// trailedBody is the body of an answer in chunks. It is complete only if its trailer is well-formed.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. It fails with ServerLost instead of io.EOF if the trailer is malformed.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if bad := checkNames(b.resp.Trailer); bad != nil {
			err = bad
		}
	}
	return n, err
}

// checkTrailer makes the body of an answer in chunks check its trailer.
func checkTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp}
	}
}

func malformed(format string, args ...any) error {
	return failure.New(failure.ServerLost, "malformed answer: "+format, args...)
}

// maxLoggedName is the length in bytes up to which a malformed field name is logged.
const maxLoggedName = 64

func shorten(name string) string { return name[:min(len(name), maxLoggedName)] }
