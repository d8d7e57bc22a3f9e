package entry

import (
	"context"
	"net"
	"syscall"
)

// callerConnKey is the context key under which a request finds its caller's connection.
type callerConnKey struct{}

// WithCallerConn stores a caller's connection in the context of its requests. It is the
// ConnContext of the http.Server for callers.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerDisconnected reports whether the caller has closed its end of the connection.
//
// A host that was paused reads requests whose callers have disconnected in the meantime.
// The context of such a request is canceled only when another goroutine reads the end of
// the connection. Until then the request may be sent to a server, which would run it for
// nobody.
//
// The descriptor is peeked at without the read lock, which that goroutine holds.
func callerDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil
	})
	return left || err != nil
}

// setResetOnClose makes the close of the caller's connection a reset, or takes that back. It also holds for
// the kernel's close when the process is killed.
func setResetOnClose(ctx context.Context, reset bool) {
	seconds := -1 // the default of the system
	if reset {
		seconds = 0
	}
	if c, ok := ctx.Value(callerConnKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(seconds) // fails only on a closed connection
	}
}
