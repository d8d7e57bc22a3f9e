// Package wire defines the messages between entry hosts and their framing.
// control.pb.go is generated from control.proto by protoc-gen-go and is
// committed, so that a build does not need the generator.
package wire

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// Version is the version of the protocol. A session between hosts of different
// versions is refused with a message that names both.
const Version = 1

// MaxMessage is the maximum size of a message in bytes. A longer message ends
// the session.
const MaxMessage = 8 << 20

// Message is any message of the protocol.
type Message = proto.Message

// Write sends one message, prefixed with its length as a varint.
func Write(w io.Writer, m proto.Message) error {
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return failure.Wrap(failure.PeerSilent, err, "write %s", m.ProtoReflect().Descriptor().Name())
	}
	return nil
}

// Read receives one message. It returns BadFrame for a message over MaxMessage
// or one that cannot be decoded, and PeerSilent at the end of the stream.
func Read(r *bufio.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxMessage}.UnmarshalFrom(r, m)
	if err == nil {
		return nil
	}
	code := failure.PeerSilent
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) || errors.Is(err, proto.Error) {
		code = failure.BadFrame
	}
	return failure.Wrap(code, err, "read %s", m.ProtoReflect().Descriptor().Name())
}
