package entry

import (
	"context"
	"net"
	"syscall"
)

// callerConn is the key of a caller's connection in the context of its requests.
type callerConn struct{}

// WithConn keeps a caller's connection in the context of the requests that come by it. It
// is the ConnContext of the callers' http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConn{}, c)
}

// callerLeft reports whether a caller's connection has been closed at its end.
//
// Guard: a host that stood still reads requests whose callers have left meanwhile. The
// context of such a request ends only when another goroutine has read the connection's end,
// which may be after the request was sent to a server: work that nobody waits for.
//
// The descriptor is looked at without the lock of reads, which that goroutine holds.
func callerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(callerConn{}).(syscall.Conn)
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
