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

// PeerResults is what other hosts found when asked for a tunnel to a server.
type PeerResults struct {
	Reached bool // one of them reaches it
	// Refused and Unreachable count the hosts that don't reach it although they reach other servers.
	Refused, Unreachable int
	Asked                int // hosts, including those that could not tell
}

// diagnose weighs this host's own failure, with refused set if the connection was refused, against what other
// hosts found. cut is set if this host does not reach any server.
func diagnose(refused, cut bool, found PeerResults) Verdict {
	switch {
	case found.Reached:
		return PathLost
	case found.Refused > 0 && refused:
		return Ended
	case found.Refused+found.Unreachable > 0:
		return Unreachable
	case cut:
		return PathLost
	case refused:
		return Ended
	}
	return Unreachable
}
