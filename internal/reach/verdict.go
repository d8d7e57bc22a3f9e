package reach

// Verdict says what is at fault when a connection to a server fails.
type Verdict uint8

const (
	// Reached: this host reaches the server.
	Reached Verdict = iota
	// PathLost: another host reaches the server, or this host is cut off from all servers.
	PathLost
	// Unreachable: the server does not answer, neither this host nor others that reach other servers.
	Unreachable
	// Ended: nothing listens at the server's address, as other hosts find as well.
	Ended
	// Unknown: the attempt was abandoned.
	Unknown
)

// String names the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"reached", "path_lost", "unreachable", "ended", "unknown"}[v]
}

// Testimony is what other hosts found when asked for a tunnel to a server.
type Testimony struct {
	Reached bool // one of them reaches it
	// Refused and Unreachable count the hosts that don't reach it although they reach other servers.
	Refused, Unreachable int
	Asked                int // hosts, including those that could not tell
}

// judge weighs this host's own failure, with refused set if the connection was refused, against what other
// hosts found. cut is set if this host does not reach any server.
func judge(refused, cut bool, t Testimony) Verdict {
	switch {
	case t.Reached:
		return PathLost
	case t.Refused > 0 && refused:
		return Ended
	case t.Refused+t.Unreachable > 0:
		return Unreachable
	case cut:
		return PathLost
	case refused:
		return Ended
	}
	return Unreachable
}
