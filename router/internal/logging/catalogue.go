package logging

import "log/slog"

// The events. Their numbers are in groups of a hundred. 100: start, readiness and stop of
// the process; 200: configuration, freshness, log, store, failure domains and backend
// servers; 300: requests; 400: bills; 500: peers; 600: verdicts, ejections, quarantines,
// orders and roll-outs; 700: settings.
var (
	EventStart      = Event{100, "start", slog.LevelInfo, "The process starts."}
	EventListening  = Event{101, "listening", slog.LevelInfo, "A listener is open; addr is its address."}
	EventReady      = Event{102, "ready", slog.LevelInfo, "Readiness succeeds: the balancer may send requests."}
	EventNotReady   = Event{103, "not_ready", slog.LevelWarn, "Readiness fails; reason says why."}
	EventStop       = Event{104, "stop", slog.LevelInfo, "The process ends."}
	EventDrainBegin = Event{105, "drain_begin", slog.LevelInfo, "A graceful shutdown began: readiness fails, requests in progress finish."}
	EventDrainEnd   = Event{106, "drain_end", slog.LevelInfo, "No request is in progress, and each bill is in the log or at two peers."}
	EventDrainCut   = Event{107, "drain_cut", slog.LevelError, "The drain time ran out with requests in progress or bills held by this instance alone: raise shutdown.drain_ms."}

	EventManifestApplied  = Event{200, "manifest_applied", slog.LevelInfo, "A new generation is in force here."}
	EventManifestRejected = Event{201, "manifest_rejected", slog.LevelWarn, "A manifest in the log is invalid and does not come into force; its publisher got the list of faults."}
	EventFreshnessChanged = Event{202, "freshness_changed", slog.LevelWarn, "The freshness mode changed; stale refuses new work, outage refuses non-idempotent work."}
	EventLogUnreachable   = Event{203, "log_unreachable", slog.LevelWarn, "The platform's log does not answer."}
	EventLogReachable     = Event{204, "log_reachable", slog.LevelInfo, "The platform's log answers again."}
	EventStateRestored    = Event{205, "state_restored", slog.LevelInfo, "State was copied from a peer, because the log does not answer."}
	EventStateDiverged    = Event{206, "state_diverged", slog.LevelError, "Two instances hold different state at the same offset, which must never happen: keep both logs and replace both instances."}

	EventRequestRefused = Event{300, "request_refused", slog.LevelDebug, "A request was refused and was not run; code says why."}
	EventAttemptFailed  = Event{301, "attempt_failed", slog.LevelWarn, "An attempt at a backend server failed."}
	EventWrongNonce     = Event{302, "wrong_nonce", slog.LevelError, "A backend server answered with another attempt's nonce; the answer was dropped."}

	EventBillHeld    = Event{400, "bill_held", slog.LevelWarn, "A bill is held here and at a peer until it can be appended to the log."}
	EventBillFlushed = Event{401, "bill_flushed", slog.LevelInfo, "Held bills are in the log."}
	EventBillRefused = Event{402, "bill_refused", slog.LevelError, "There is no space or no peer to hold a bill; new work is refused until there is."}

	EventPeerConnected = Event{500, "peer_connected", slog.LevelInfo, "A peer answers."}
	EventPeerLost      = Event{501, "peer_lost", slog.LevelWarn, "A peer no longer answers."}
	EventPeerRejected  = Event{502, "peer_rejected", slog.LevelWarn, "A peer's message or connection was rejected; nothing changed."}

	EventVersionVerdict = Event{600, "version_verdict", slog.LevelWarn, "There is a verdict on a version; bad says which. A bad version gets no new sessions and, except for a few probes, no new requests."}
	EventServerEjected  = Event{601, "server_ejected", slog.LevelWarn, "A backend server was ejected as an outlier, or an ejection ended; ejected says which."}
	EventQuarantine     = Event{602, "quarantine", slog.LevelError, "A request that crashes backend servers is refused at every instance; until says how long."}

	EventOrderSent        = Event{603, "order_sent", slog.LevelInfo, "An order that says what to load was sent to an engine."}
	EventOrderFailed      = Event{604, "order_failed", slog.LevelWarn, "An engine did not accept an order; it is sent again. A stale fencing number means that another instance holds the lease."}
	EventPartsQuarantined = Event{605, "parts_quarantined", slog.LevelError, "Parts of prompts crash backend servers that begin a response on them: requests that contain all of them are refused at every instance while such requests come; own says whether this instance has drawn the verdict, or another one."}

	EventLogDropped  = Event{108, "log_dropped", slog.LevelWarn, "Log lines were dropped because they came faster than they could be written; dropped is their number."}
	EventServeFailed = Event{109, "serve_failed", slog.LevelError, "A listener failed; the process stops."}

	EventConfigApplied  = Event{210, "config_applied", slog.LevelInfo, "A configuration of pass-through routes is in force here."}
	EventRecordRejected = Event{211, "record_rejected", slog.LevelWarn, "A record in the store, or another instance's load report, cannot be read and is ignored."}
	EventServerListed   = Event{212, "server_listed", slog.LevelInfo, "A backend server's entry is new or has changed."}
	EventServerGone     = Event{213, "server_gone", slog.LevelInfo, "A backend server's entry is gone; reason says why."}
	EventEntryIgnored   = Event{214, "entry_ignored", slog.LevelWarn, "A backend server's entry cannot be read; it is ignored, and the server is not used."}
	EventStoreLost      = Event{215, "store_lost", slog.LevelWarn, "A topic of the platform's store does not answer."}
	EventStoreRegained  = Event{216, "store_regained", slog.LevelInfo, "A topic of the platform's store answers again."}

	EventCollector = Event{217, "collector", slog.LevelInfo, "From now on the store is read through another instance of the failure domain, the collector; directly, if collector is empty."}

	EventDomainDrained   = Event{218, "domain_drained", slog.LevelWarn, "The operator drains a failure domain: this instance sends its backend servers no new requests; known says whether any instance runs there."}
	EventDomainBack      = Event{219, "domain_back", slog.LevelInfo, "A drained failure domain was put back into service; its backend servers get few requests at first (slow start)."}
	EventServerCold      = Event{220, "server_cold", slog.LevelInfo, "A backend server is treated as cold, or all of a failure domain if server is empty; reason says why. It gets few requests for that time (slow start)."}
	EventServerLimited   = Event{221, "server_limited", slog.LevelInfo, "A backend server states how many requests a second it takes from all instances together; own says whether this instance learned it from an answer itself, or from another instance."}
	EventServerUnlimited = Event{222, "server_unlimited", slog.LevelInfo, "A backend server no longer states a rate limit."}
	EventStoreRestored   = Event{223, "store_restored", slog.LevelWarn, "A topic of the platform's store was restored from a backup of an earlier state; its newest records are read again."}
	EventStateKept       = Event{224, "state_kept", slog.LevelInfo, "State of this instance is kept although a store restored from a backup says otherwise; subject and key say which, reason why."}
	EventServerLeaving   = Event{225, "server_leaving", slog.LevelInfo, "A backend server states in an answer that it is leaving: this instance sends it no new requests; own says whether the answer was to this instance or to another one."}
	EventPathLost        = Event{227, "path_lost", slog.LevelWarn, "Peers reach several backend servers, or all, that this instance does not: requests for them are sent through peers; unreached is the number of servers that it missed in a row."}
	EventPathRestored    = Event{228, "path_restored", slog.LevelInfo, "This instance reaches backend servers again."}
	EventPathNowhere     = Event{230, "path_nowhere", slog.LevelWarn, "This instance misses backend servers and looked for a peer with a path; none of those that were asked has one. Requests are refused meanwhile, and the search goes on; known is the number of peers that it knows."}
	EventServiceBrittle  = Event{229, "service_brittle", slog.LevelWarn, "A service's backend servers state that they fail if they reject more than per_second requests in a second, or, if brittle is false, no longer do: requests are sent only where there is room for certain."}
	EventLoadUnreadable  = Event{231, "load_unreadable", slog.LevelWarn, "A backend server states a load that cannot be read; it counts as not stated. Logged once for each process of a server."}
	EventIdleReset       = Event{233, "idle_reset", slog.LevelInfo, "A backend server reset an idle connection: it gets no requests for a moment, and none that may run at most once until it has responded again."}
	EventServerSpeed     = Event{232, "server_speed", slog.LevelInfo, "A backend server takes a multiple of the time that it states, by measured times of all instances, or, if slow is false, no longer does: it gets fewer requests meanwhile; factor is how many times as long as usual work is taken to last there."}
	EventServerOutlier   = Event{234, "server_outlier", slog.LevelWarn, "A backend server fails more attempts than the others of its service, as all instances see it, and is ejected for for_ms, or, if ejected is false, is used again; failed and attempts are the counts that this was decided by, earlier attempts with less weight."}
	EventHolderSilent    = Event{235, "holder_silent", slog.LevelWarn, "An instance that holds the rate of rate-limited backend servers gave no answer to a question for a grant; the next in rank is asked for some time."}
	EventTopicBacklog    = Event{236, "topic_backlog", slog.LevelInfo, "A read of a topic ended before the topic's end: the topic is read on at once and counts as read once the end is reached; remaining is the number of records that followed."}
	EventServerBackoff   = Event{226, "server_backoff", slog.LevelInfo, "A backend server refused a request and states for how long it wants no others from this instance, which sends it none for that time."}

	EventPassthroughRefused = Event{310, "passthrough_refused", slog.LevelInfo, "A request on a pass-through route was refused and was not run; reason says why."}
	EventPassthroughAttempt = Event{311, "passthrough_attempt", slog.LevelInfo, "An attempt at a backend server ended; load is the load by which the server was chosen."}
	EventPassthroughFailed  = Event{312, "passthrough_failed", slog.LevelWarn, "A request ended without a success, and ran or may have run; reason says why."}
	EventCallerLost         = Event{313, "caller_lost", slog.LevelInfo, "A caller disconnected before the end of its answer."}
	EventAttemptGivenUp     = Event{314, "attempt_given_up", slog.LevelInfo, "An attempt was given up as its response was not expected to end before the deadline, and was at another backend server; elsewhere_ms is the forecast there."}

	EventRolloutOrdered   = Event{610, "rollout_ordered", slog.LevelInfo, "The operator ordered a roll-out."}
	EventRolloutStep      = Event{611, "rollout_step", slog.LevelInfo, "The share of a roll-out's new version changed at this instance."}
	EventRolloutEnded     = Event{612, "rollout_ended", slog.LevelWarn, "A roll-out has ended; completed says whether the new version gets all requests, the counts are the answers that this was decided by."}
	EventRolloutUnwritten = Event{613, "rollout_unwritten", slog.LevelWarn, "A roll-out's state could not be written; the write is retried."}

	EventSettingsReloaded = Event{701, "settings_reloaded", slog.LevelInfo, "The settings file was read again."}
	EventSettingsFaults   = Event{700, "settings_faults", slog.LevelError, "The settings have faults; the process does not start."}
)

// Catalogue lists every event in the order of the numbers. The table in docs/EVENTS.md is
// made from it; a test fails if an event is declared but not listed.
func Catalogue() []Event {
	return []Event{
		EventStart, EventListening, EventReady, EventNotReady, EventStop,
		EventDrainBegin, EventDrainEnd, EventDrainCut, EventLogDropped, EventServeFailed,
		EventManifestApplied, EventManifestRejected, EventFreshnessChanged,
		EventLogUnreachable, EventLogReachable, EventStateRestored, EventStateDiverged,
		EventConfigApplied, EventRecordRejected, EventServerListed, EventServerGone, EventEntryIgnored,
		EventStoreLost, EventStoreRegained, EventCollector,
		EventDomainDrained, EventDomainBack, EventServerCold, EventServerLimited, EventServerUnlimited, EventStoreRestored, EventStateKept, EventServerLeaving, EventServerBackoff, EventPathLost, EventPathRestored, EventServiceBrittle, EventPathNowhere, EventLoadUnreadable, EventServerSpeed, EventIdleReset, EventServerOutlier, EventHolderSilent, EventTopicBacklog,
		EventRequestRefused, EventAttemptFailed, EventWrongNonce,
		EventPassthroughRefused, EventPassthroughAttempt, EventPassthroughFailed, EventCallerLost, EventAttemptGivenUp,
		EventBillHeld, EventBillFlushed, EventBillRefused,
		EventPeerConnected, EventPeerLost, EventPeerRejected,
		EventVersionVerdict, EventServerEjected, EventQuarantine,
		EventOrderSent, EventOrderFailed, EventPartsQuarantined,
		EventRolloutOrdered, EventRolloutStep, EventRolloutEnded, EventRolloutUnwritten,
		EventSettingsFaults, EventSettingsReloaded,
	}
}

// Retired lists numbers of former events, which must not be used again.
func Retired() []int { return nil }
