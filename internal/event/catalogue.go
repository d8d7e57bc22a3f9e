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

// Trace events are added to the timeline only; other events are logged as well,
// Alarm events at the log level error.
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
	TraitQuarantined   Code = 219
	TraitLifted        Code = 220

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

	AccountOverShare Code = 313
	OverloadForecast Code = 314

	MemberJoined      Code = 401
	MemberSuspect     Code = 402
	MemberDead        Code = 403
	MemberLeaving     Code = 404
	PeerOpened        Code = 405
	PeerSilent        Code = 406
	PeerRefused       Code = 407
	MemberForgotten   Code = 408
	MemberProvedDead  Code = 409
	HostNearLimit     Code = 410
	HostPathsLost     Code = 411
	HostPathsRestored Code = 412
	FleetDiscovered   Code = 413
	IntakeLimited     Code = 414

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
	ServerSlowed      Code = 620
	ServerEjected     Code = 621
	PathLost          Code = 622
	PathRestored      Code = 623
	ServerReached     Code = 624
	ServerBrittle     Code = 625

	StoreDown      Code = 701
	StoreUp        Code = 702
	ClaimInDoubt   Code = 703
	ClaimRefused   Code = 704
	LeaseWon       Code = 705
	LeaseLost      Code = 706
	HostListFailed Code = 707
	StoreSource    Code = 708
	StoreRestored  Code = 709
)

// Catalogue describes every code.
var Catalogue = map[Code]Kind{
	ProcessStarted:  {"process_started", Info, "The daemon serves; detail gives its incarnation and addresses."},
	ProcessDraining: {"process_draining", Info, "A drain was requested; look-ups no longer return this host."},
	ProcessStopped:  {"process_stopped", Info, "All requests in progress have ended; the process exits."},
	HostIsolated:    {"host_isolated", Alarm, "Neither the table service nor a peer answers; new requests are refused as not run."},
	HostRejoined:    {"host_rejoined", Info, "The table service or a peer answers again; new requests are accepted."},
	LinesDropped:    {"lines_dropped", Warn, "Log lines were dropped because of the rate limit or a stalled log reader; count gives their number."},
	SettingsRead:    {"settings_read", Info, "The settings file was read again, after SIGHUP or since it changed; detail names a new address of the store."},
	DutyFailed:      {"duty_failed", Alarm, "A background task failed unexpectedly; detail gives the error."},

	RequestAccepted:   {"request_accepted", Trace, "The entry host received the whole request."},
	RequestWaiting:    {"request_waiting", Trace, "The request was registered with the home of its service, the host that runs the scheduler."},
	RequestGranted:    {"request_granted", Trace, "The holder, which owes the caller the answer, received a grant for one dispatch."},
	RequestDispatched: {"request_dispatched", Trace, "The holder starts to send the request to the backend server."},
	RequestFirstByte:  {"request_first_byte", Trace, "The first byte of the answer arrived."},
	RequestAnswered:   {"request_answered", Info, "The whole answer was received; its end marker is valid."},
	RequestNotRun:     {"request_not_run", Trace, "The caller is told that the request did not run; detail gives the reason code."},
	RequestUnknown:    {"request_unknown", Warn, "The caller is told that it is unknown whether the request ran; detail gives the reason code."},
	RequestMoved:      {"request_moved", Trace, "The waiting request was revoked on this host because the caller resent it through another host."},
	RequestCut:        {"request_cut", Warn, "The stream from the backend server broke or stalled; it is resumed where possible."},
	RequestResumed:    {"request_resumed", Trace, "The stream continues at its offset."},
	RequestAttached:   {"request_attached", Trace, "A caller attached to a request that a holder already has."},
	GrantExpired:      {"grant_expired", Trace, "A grant was not used before its expiry and went back to the home."},
	RequestRefused:    {"request_refused", Info, "An entry host refused a request; detail gives the reason code."},
	FrameCrossed:      {"frame_crossed", Warn, "A frame of an answer did not fit its request or its position and was dropped."},

	RequestQuarantined: {"request_quarantined", Alarm, "Servers ended while they ran a request; it is not run until an operator releases it or a trial run succeeds. Detail gives the fingerprint, the servers and the reporting host."},
	TraitQuarantined:   {"trait_quarantined", Alarm, "Servers ended while they ran requests with the same prompt part, or those of an account on a route; such requests are not run until an operator releases the trait or a trial run succeeds. Detail gives its key, the servers, the answers since, the accounts for which it holds (none: all) and the reporting host."},
	TraitLifted:        {"trait_lifted", Info, "A prompt part, or the requests of an account on a route, left quarantine: a trial succeeded, answers spoke for it, or it was released."},
	QuarantineLifted:   {"quarantine_lifted", Info, "A request left quarantine: it succeeded or was released."},
	RequestLeft:        {"request_left", Info, "The caller disconnected before it received the answer; detail gives the phase of the request."},

	HomeOpened:       {"home_opened", Info, "This host became the home of a service."},
	HomeClosed:       {"home_closed", Info, "This host stopped being the home of a service."},
	HomeShed:         {"home_shed", Trace, "The home shed a waiting request; detail gives the reason."},
	HomeRevoke:       {"home_revoke", Trace, "The home asks a holder not to dispatch a request that was resent through another host."},
	HomeUncovered:    {"home_uncovered", Warn, "A holder ended and the ledger may lack grants to it; until the horizon passes, resends of its requests are answered as unknown."},
	HomeReport:       {"home_report", Trace, "A holder reported its entries of the ledger."},
	HomeFull:         {"home_full", Warn, "The input queue of the home is full; the sender waits."},
	HomeMoved:        {"home_moved", Info, "A holder switched to another home of a service."},
	HomeHandover:     {"home_handover", Info, "A leaving home handed its ledger over to the next one."},
	HomeGranted:      {"home_granted", Trace, "The home granted one dispatch."},
	ShareChanged:     {"share_changed", Info, "The share of all servers and quotas that this host schedules has changed: 1 as the home, less when it schedules locally. Detail gives the shares."},
	AccountOverShare: {"account_over_share", Info, "A client account started or stopped asking for more than its share of the servers' time while requests wait; detail gives its priority, what it asked for and its share."},
	OverloadForecast: {"overload_forecast", Info, "A priority of a service started or stopped refusing requests for which no server is expected to have room in time; detail gives the forecast."},
	HomeServerState:  {"home_server_state", Info, "The state of a backend server has changed at the home."},

	MemberJoined:      {"member_joined", Info, "A new incarnation of an entry host became known."},
	MemberSuspect:     {"member_suspect", Warn, "A member missed its heartbeat deadline."},
	MemberDead:        {"member_dead", Warn, "A member is considered dead."},
	MemberLeaving:     {"member_leaving", Info, "A member is draining."},
	PeerOpened:        {"peer_opened", Trace, "A session to another host was opened."},
	PeerSilent:        {"peer_silent", Warn, "A session stopped answering and was replaced."},
	PeerRefused:       {"peer_refused", Warn, "A session was refused; detail gives the reason."},
	MemberForgotten:   {"member_forgotten", Trace, "A dead member was removed from the member list after the horizon."},
	MemberProvedDead:  {"member_proved_dead", Info, "The process of an incarnation is known to have ended; detail gives the evidence."},
	HostNearLimit:     {"host_near_limit", Warn, "This host started or stopped turning callers away because a resource of it is nearly used up; detail gives the resource."},
	HostPathsLost:     {"host_paths_lost", Warn, "This host reaches no backend server while other hosts do; other hosts do not ask it for tunnels, and look-ups leave it out while most hosts have their paths."},
	HostPathsRestored: {"host_paths_restored", Info, "This host reaches backend servers again."},
	FleetDiscovered:   {"fleet_discovered", Info, "What this host knows of the fleet since its start has changed (charts/discovery.yaml); detail gives the states, the hosts found, listed by the store and reported by others."},
	IntakeLimited:     {"intake_limited", Warn, "Connections or requests of clients were refused or closed since they would have exceeded what clients may make this host hold; detail gives their numbers since the last such event, of which there is at most one a second."},

	ConfigInForce:  {"config_in_force", Info, "A configuration version is in force on this host."},
	ConfigRefused:  {"config_refused", Warn, "A configuration could not be read or is invalid."},
	ConfigApplied:  {"config_applied", Info, "An operator's change was accepted."},
	ConfigConflict: {"config_conflict", Warn, "An operator's change conflicted with another change and was not applied."},
	ConfigFromPeer: {"config_from_peer", Info, "A configuration was fetched from another host."},
	ConfigInDoubt:  {"config_in_doubt", Warn, "The answer to a change was lost; the configuration is read back."},

	ServerUnreachable: {"server_unreachable", Warn, "A backend server refuses connections or sends no load reports."},
	ServerRestarted:   {"server_restarted", Warn, "A backend server answers with a new incarnation; its cache and streams are gone."},
	ServerCacheGap:    {"server_cache_gap", Trace, "Cache events of a backend server were lost; the home's view of its cache may be wrong."},
	OrderSent:         {"order_sent", Info, "An order was sent to a backend server with a fencing number."},
	OrderRefused:      {"order_refused", Warn, "A backend server refused an order because of its old fencing number."},
	OrderRepaired:     {"order_repaired", Warn, "A backend server was in another state than ordered; the order is sent again."},

	ServerRejected: {"server_rejected", Info, "A backend server stated that it did not run a request; the request goes to another server."},
	ServerErrored:  {"server_errored", Info, "A backend server answered with an error of its own."},
	ServerLost:     {"server_lost", Info, "A backend server did not send a complete answer; the request may have run."},
	ServersChanged: {"servers_changed", Info, "The list of backend servers changed; detail gives the change."},
	ServerMissing:  {"server_missing", Info, "The entry of a backend server is gone, presumably because it could not be renewed during an outage of the store; the server stays in use for a grace period. Detail gives the period and the length of the outage; peer is the host that reported it, if any."},
	ServerLimit:    {"server_limit", Info, "A backend server changed or withdrew its rate limit (requests per second from all hosts); detail gives the old and the new limit, and whether another host reported it."},
	ServerLeaves:   {"server_leaves", Info, "A backend server announced in an answer that it leaves; detail states whether another host reported it."},
	SendHeldBack:   {"send_held_back", Info, "A request was not sent to the server of its placement and requests another placement, because a server notice that arrived since then forbids it; detail gives the notice."},
	ServerSlowed:   {"server_slowed", Info, "A backend server reported that work takes more than twice as long there as usual; detail gives the figures."},
	ServerEjected:  {"server_ejected", Warn, "The scheduler stops sending to a backend server for a while; detail gives the host whose report caused it, how the run ended and for how long."},
	PathLost:       {"path_lost", Warn, "This host does not reach a backend server that other hosts reach; its requests for the server go through other hosts."},
	PathRestored:   {"path_restored", Info, "This host reaches a backend server again."},
	ServerReached:  {"server_reached", Info, "A backend server that did not answer is reached again, and the scheduler uses it again at once."},
	ServerBrittle:  {"server_brittle", Info, "A backend server changed or withdrew what it states about the rejections that it bears (a second, from all hosts; beyond them it fails); detail gives the old and the new number."},
	ServerEnded:    {"server_ended", Warn, "A backend server ended while it ran a request: the answer broke off and the server refuses connections; detail gives the fingerprint of the request, how long it had run and when its first event came (0s: it had none), its route and account, and the prompt parts that others may share."},

	RolloutOrdered: {"rollout_ordered", Info, "This host carries out an order to move a service to a version; detail gives the version and the time limit."},
	RolloutStep:    {"rollout_step", Info, "A roll-out progressed; detail gives the phase, the reason and the numbers of requests and answers, and for each route the bad answers, all answers and the failure rate of the old version."},
	RolloutWritten: {"rollout_written", Info, "The state of a roll-out was written to the store."},
	RolloutRefused: {"rollout_refused", Warn, "An order for a roll-out is invalid or could not be read; detail gives the reason."},

	StoreDown:      {"store_down", Alarm, "The table service does not answer."},
	StoreUp:        {"store_up", Info, "The table service answers again."},
	ClaimInDoubt:   {"claim_in_doubt", Warn, "The answer to a claim was lost; the claim row is read back."},
	ClaimRefused:   {"claim_refused", Trace, "A claim row has another owner; the request is a resend."},
	LeaseWon:       {"lease_won", Info, "A lease was acquired; detail gives its fencing number."},
	LeaseLost:      {"lease_lost", Warn, "A lease lapsed or went to another holder."},
	StoreSource:    {"store_source", Info, "A table is now read from another source: the entry host in peer or, without peer, the store itself."},
	StoreRestored:  {"store_restored", Warn, "The store was restored from an older copy and lost what it acknowledged since; detail gives its old and new era."},
	HostListFailed: {"host_list_failed", Warn, "The host list could not be read."},
}
