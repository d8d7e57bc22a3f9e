package upstream

import "net/http"

// Framing tells how the end of an answer's body is marked.
type Framing string

const (
	// NoBody is the framing of an answer that has no body by its method or status.
	NoBody Framing = "none"
	// ByLength and ByChunks mark the end: a body that is cut off earlier fails with an error.
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	// ByConnection doesn't mark the end: the body ends with its connection, also where the server only
	// got as far as that.
	ByConnection Framing = "connection"
)

// FramingOf returns the framing of a server's answer to a request with the method.
func FramingOf(method string, resp *http.Response) Framing {
	switch {
	case method == http.MethodHead, resp.StatusCode < http.StatusOK, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return NoBody
	case resp.ContentLength >= 0:
		return ByLength
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	}
	return ByConnection
}
