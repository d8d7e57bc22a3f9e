package event

// Code is the number of a kind of event. Numbers are never reused. A test checks
// that docs/EVENTS.md lists the same events as Catalogue.
type Code int

// Kind describes a Code: its name in logs, its level and its meaning.
type Kind struct {
	Name  string
	Level Level
	Text  string
}

// Level is the severity of an event.
type Level string

// Trace events are added to the timeline only; other events are logged as well.
const (
	Trace Level = "trace"
	Info  Level = "info"
	Warn  Level = "warn"
	Alarm Level = "alarm"
)

// Event codes by subject: 1xx process, 2xx request, 3xx home (the host that runs
// the scheduler), 4xx member, 5xx configuration, 6xx backend server, 7xx platform.
const (
	ProcessStarted  Code = 101
	ProcessDraining Code = 102
	ProcessStopped  Code = 103
	HostIsolated    Code = 104
	HostRejoined    Code = 105
	DutyFailed      Code = 106
	SettingsRead    Code = 107
	LinesDropped    Code = 108

	RequestAccepted   Code = 201
	RequestWaiting    Code = 202
	RequestGranted    Code = 203
	RequestDispatched Code = 204
	RequestFirstByte  Code = 205
	RequestAnswered   Code = 206
	RequestNotRun     Code = 207
	RequestUnknown    Code = 208
	RequestMoved      Code = 209
	RequestCut        Code = 210
	RequestResumed    Code = 211
	RequestAttached   Code = 212
	GrantExpired      Code = 213
	RequestRefused    Code = 214
	FrameCrossed      Code = 215
	RequestLeft       Code = 216

	RequestQuarantined Code = 217
	QuarantineLifted   Code = 218

	HomeOpened      Code = 301
	HomeClosed      Code = 302
	HomeShed        Code = 303
	HomeRevoke      Code = 304
	HomeUncovered   Code = 305
	HomeReport      Code = 306
	HomeFull        Code = 307
	HomeMoved       Code = 308
	HomeHandover    Code = 309
	HomeGranted     Code = 310
	HomeServerState Code = 311
	ShareChanged    Code = 312

	MemberJoined     Code = 401
	MemberSuspect    Code = 402
	MemberDead       Code = 403
	MemberLeaving    Code = 404
	PeerOpened       Code = 405
	PeerSilent       Code = 406
	PeerRefused      Code = 407
	MemberForgotten  Code = 408
	MemberProvedDead Code = 409

	ConfigInForce  Code = 501
	ConfigRefused  Code = 502
	ConfigApplied  Code = 503
	ConfigConflict Code = 504
	ConfigFromPeer Code = 505
	ConfigInDoubt  Code = 506

	ServerUnreachable Code = 601
	ServerRestarted   Code = 602
	ServerCacheGap    Code = 603
	OrderSent         Code = 604
	OrderRefused      Code = 605
	OrderRepaired     Code = 606
	ServerRejected    Code = 607
	ServerErrored     Code = 608
	ServerLost        Code = 609
	ServersChanged    Code = 610
	ServerEnded       Code = 611
	RolloutOrdered    Code = 612
	RolloutStep       Code = 613
	RolloutWritten    Code = 614
	RolloutRefused    Code = 615
	ServerMissing     Code = 616
	ServerLimit       Code = 617
	ServerLeaves      Code = 618
	SendHeldBack      Code = 619

	StoreDown      Code = 701
	StoreUp        Code = 702
	ClaimInDoubt   Code = 703
	ClaimRefused   Code = 704
	LeaseWon       Code = 705
	LeaseLost      Code = 706
	HostListFailed Code = 707
	StoreSource    Code = 708
)

// Catalogue describes every code.
var Catalogue = map[Code]Kind{
	ProcessStarted:  {"process_started", Info, "The daemon serves; detail gives its incarnation and addresses."},
	ProcessDraining: {"process_draining", Info, "A drain was asked for; look-ups stop naming this host."},
	ProcessStopped:  {"process_stopped", Info, "All held requests have ended; the process exits."},
	HostIsolated:    {"host_isolated", Alarm, "Neither the table service nor a peer answers; new requests are refused as not run."},
	HostRejoined:    {"host_rejoined", Info, "The table service or a peer answers again; requests are taken."},
	LinesDropped:    {"lines_dropped", Warn, "Log lines were left out to keep the volume bounded; count tells how many."},
	SettingsRead:    {"settings_read", Info, "SIGHUP: the settings file was read anew."},
	DutyFailed:      {"duty_failed", Alarm, "A duty met a failure that it does not expect; detail gives the error."},

	RequestAccepted:   {"request_accepted", Trace, "The entry host holds the whole request."},
	RequestWaiting:    {"request_waiting", Trace, "The request was registered with the home of its service."},
	RequestGranted:    {"request_granted", Trace, "The holder received a grant for one dispatch."},
	RequestDispatched: {"request_dispatched", Trace, "The holder starts to write the request to the backend server."},
	RequestFirstByte:  {"request_first_byte", Trace, "The first byte of the answer arrived."},
	RequestAnswered:   {"request_answered", Info, "The whole answer is held; its end mark was checked."},
	RequestNotRun:     {"request_not_run", Trace, "The caller is told not run; detail gives the reason code."},
	RequestUnknown:    {"request_unknown", Warn, "The caller is told unknown; detail gives the reason code."},
	RequestMoved:      {"request_moved", Trace, "The waiting request was revoked here because it was resent through another host."},
	RequestCut:        {"request_cut", Warn, "The stream from the backend server broke or went silent; resuming."},
	RequestResumed:    {"request_resumed", Trace, "The stream goes on at its offset."},
	RequestAttached:   {"request_attached", Trace, "A caller attached to a request that is held already."},
	GrantExpired:      {"grant_expired", Trace, "A grant was not used before its expiry and went back to the home."},
	RequestRefused:    {"request_refused", Info, "A request was refused before it was held; detail gives the reason code."},
	FrameCrossed:      {"frame_crossed", Warn, "An answer frame did not belong to its request and was dropped."},

	RequestQuarantined: {"request_quarantined", Alarm, "Servers ended while they ran a request; it is not run until an operator releases it or its trial succeeds. Detail gives the fingerprint, the servers and whose word it is."},
	QuarantineLifted:   {"quarantine_lifted", Info, "A request that was in quarantine succeeded or was released."},
	RequestLeft:        {"request_left", Info, "The caller left before its answer; detail tells when."},

	HomeOpened:      {"home_opened", Info, "This host became the home of a service."},
	HomeClosed:      {"home_closed", Info, "This host stopped being the home of a service."},
	HomeShed:        {"home_shed", Trace, "The home shed a waiting request; detail gives the reason."},
	HomeRevoke:      {"home_revoke", Trace, "The home asks a holder to give up a request that was resent elsewhere."},
	HomeUncovered:   {"home_uncovered", Warn, "A holder ended without its part of the ledger; resends of its requests are unknown for the horizon."},
	HomeReport:      {"home_report", Trace, "A holder reported its part of the ledger."},
	HomeFull:        {"home_full", Warn, "The home's input ring is full; a holder waits."},
	HomeMoved:       {"home_moved", Info, "A holder follows a service to another home."},
	HomeHandover:    {"home_handover", Info, "A leaving home passed its ledger on."},
	HomeGranted:     {"home_granted", Trace, "The home granted one dispatch."},
	ShareChanged:    {"share_changed", Info, "This host schedules with another part of all servers and quotas: 1 as the home, less when it decides for itself, detail gives it."},
	HomeServerState: {"home_server_state", Info, "The home sees a backend server in another state."},

	MemberJoined:     {"member_joined", Info, "A new incarnation of an entry host was heard of."},
	MemberSuspect:    {"member_suspect", Warn, "A member missed its heartbeat deadline."},
	MemberDead:       {"member_dead", Warn, "A member is counted as dead."},
	MemberLeaving:    {"member_leaving", Info, "A member drains."},
	PeerOpened:       {"peer_opened", Trace, "A session to another host was opened."},
	PeerSilent:       {"peer_silent", Warn, "A session stopped answering and was replaced."},
	PeerRefused:      {"peer_refused", Warn, "A session was refused; detail gives the reason."},
	MemberForgotten:  {"member_forgotten", Trace, "A dead member passed the horizon."},
	MemberProvedDead: {"member_proved_dead", Info, "The end of an incarnation was proved; detail tells how."},

	ConfigInForce:  {"config_in_force", Info, "A configuration version is in force on this host."},
	ConfigRefused:  {"config_refused", Warn, "A configuration could not be read or checked."},
	ConfigApplied:  {"config_applied", Info, "An operator's change was accepted."},
	ConfigConflict: {"config_conflict", Warn, "An operator's change lost against another one."},
	ConfigFromPeer: {"config_from_peer", Info, "A configuration was taken from another host."},
	ConfigInDoubt:  {"config_in_doubt", Warn, "The answer to a change was lost; it is being read back."},

	ServerUnreachable: {"server_unreachable", Warn, "A backend server refuses connections or does not report."},
	ServerRestarted:   {"server_restarted", Warn, "A backend server answers with a new incarnation; its cache and streams are gone."},
	ServerCacheGap:    {"server_cache_gap", Trace, "Cache events were lost; what is known of that cache is doubtful."},
	OrderSent:         {"order_sent", Info, "An order was sent to a backend server under a fencing number."},
	OrderRefused:      {"order_refused", Warn, "A backend server refused an order with an old fencing number."},
	OrderRepaired:     {"order_repaired", Warn, "A backend server was found in another state than ordered and was set right."},

	ServerRejected: {"server_rejected", Info, "A backend server states that it did not run a request; it goes to another one."},
	ServerErrored:  {"server_errored", Info, "A backend server answered with a failure of its own."},
	ServerLost:     {"server_lost", Info, "A backend server gave no whole answer; the request may have run."},
	ServersChanged: {"servers_changed", Info, "The list of backend servers changed; detail tells how."},
	ServerMissing:  {"server_missing", Info, "A server's entry is gone and counts as lapsed while the store was away: the server is used for a while still. Detail gives for how long, and how long the store was silent; peer, if any, whose word it is."},
	ServerLimit:    {"server_limit", Info, "A backend server names another limit of requests a second from all hosts than it did before, or none any more; detail gives both, and whether another host heard it."},
	ServerLeaves:   {"server_leaves", Info, "A backend server says in an answer that it leaves; detail tells which host heard it."},
	SendHeldBack:   {"send_held_back", Info, "A request was not sent to the server that it was placed at, and asks again: what the server has said of itself since forbids it, as detail tells."},
	ServerEnded:    {"server_ended", Warn, "A backend server ended while it had a request: it broke the answer off and refuses connections; detail names the request's fingerprint."},

	RolloutOrdered: {"rollout_ordered", Info, "This host carries out an order to move a service to a version; detail names it and its deadline."},
	RolloutStep:    {"rollout_step", Info, "A roll-out took a step; detail gives phase, reason, requests and answers, and by route bad answers, answers and the share of the old version's that fail."},
	RolloutWritten: {"rollout_written", Info, "The state of a roll-out stands in the store."},
	RolloutRefused: {"rollout_refused", Warn, "An order for a roll-out makes no sense or could not be read; detail tells why."},

	StoreDown:      {"store_down", Alarm, "The table service does not answer."},
	StoreUp:        {"store_up", Info, "The table service answers again."},
	ClaimInDoubt:   {"claim_in_doubt", Warn, "The answer to a claim was lost; the row is being read back."},
	ClaimRefused:   {"claim_refused", Trace, "A claim row has another owner; the request is a resend."},
	LeaseWon:       {"lease_won", Info, "A lease is held; detail gives its fencing number."},
	LeaseLost:      {"lease_lost", Warn, "A lease lapsed or went to another holder."},
	StoreSource:    {"store_source", Info, "A table is read from another source than before: peer names the entry host, none: the store itself."},
	HostListFailed: {"host_list_failed", Warn, "The host list could not be read."},
}
