package logging

import "log/slog"

// The events, in groups of a hundred: life of the process, manifests and
// freshness, requests, bills, peers, decisions, settings.
var (
	EventStart      = Event{100, "start", slog.LevelInfo, "The process starts."}
	EventListening  = Event{101, "listening", slog.LevelInfo, "A listener is open; addr is its address."}
	EventReady      = Event{102, "ready", slog.LevelInfo, "Readiness succeeds: the balancer may send requests."}
	EventNotReady   = Event{103, "not_ready", slog.LevelWarn, "Readiness fails; reason says why."}
	EventStop       = Event{104, "stop", slog.LevelInfo, "The process ends."}
	EventDrainBegin = Event{105, "drain_begin", slog.LevelInfo, "A planned stop began: readiness fails, requests in progress finish."}
	EventDrainEnd   = Event{106, "drain_end", slog.LevelInfo, "No request is in progress, and each bill is in the log or at two peers."}
	EventDrainCut   = Event{107, "drain_cut", slog.LevelError, "The drain time passed with requests in progress or bills held here alone: raise shutdown.drain_ms."}

	EventManifestApplied  = Event{200, "manifest_applied", slog.LevelInfo, "A new generation is in force here."}
	EventManifestRejected = Event{201, "manifest_rejected", slog.LevelWarn, "A manifest in the log is invalid and stays out of force; its publisher has the faults."}
	EventFreshnessChanged = Event{202, "freshness_changed", slog.LevelWarn, "The freshness mode changed; stale refuses new work, outage refuses non-idempotent work."}
	EventLogUnreachable   = Event{203, "log_unreachable", slog.LevelWarn, "The platform's log does not answer."}
	EventLogReachable     = Event{204, "log_reachable", slog.LevelInfo, "The platform's log answers again."}
	EventStateRestored    = Event{205, "state_restored", slog.LevelInfo, "State was taken over from a peer, because the log does not answer."}
	EventStateDiverged    = Event{206, "state_diverged", slog.LevelError, "Two instances at one offset hold unlike state, a broken invariant: keep both logs and replace both instances."}

	EventRequestRefused = Event{300, "request_refused", slog.LevelDebug, "A request was refused and was not run; code says why."}
	EventAttemptFailed  = Event{301, "attempt_failed", slog.LevelWarn, "An attempt at a backend server failed."}
	EventWrongNonce     = Event{302, "wrong_nonce", slog.LevelError, "A backend server answered with another attempt's nonce; the answer was dropped."}

	EventBillHeld    = Event{400, "bill_held", slog.LevelWarn, "A bill is held here and at a peer until the log takes it."}
	EventBillFlushed = Event{401, "bill_flushed", slog.LevelInfo, "Held bills are in the log."}
	EventBillRefused = Event{402, "bill_refused", slog.LevelError, "No room or no peer to hold a bill; new work is refused until there is."}

	EventPeerConnected = Event{500, "peer_connected", slog.LevelInfo, "A peer answers."}
	EventPeerLost      = Event{501, "peer_lost", slog.LevelWarn, "A peer no longer answers."}
	EventPeerRejected  = Event{502, "peer_rejected", slog.LevelWarn, "A peer's message or connection was rejected; nothing changed."}

	EventVersionVerdict = Event{600, "version_verdict", slog.LevelWarn, "A version was judged; bad says how. A bad one gets no new sessions or requests but a trickle."}
	EventServerEjected  = Event{601, "server_ejected", slog.LevelWarn, "A backend server is ejected as an outlier."}
	EventQuarantine     = Event{602, "quarantine", slog.LevelError, "A request that crashes backend servers is refused everywhere for a time."}

	EventOrderSent   = Event{603, "order_sent", slog.LevelInfo, "An engine was told what to load."}
	EventOrderFailed = Event{604, "order_failed", slog.LevelWarn, "An engine did not take an order; it is tried again. A stale fencing number means that another instance holds the lease."}

	EventLogDropped  = Event{108, "log_dropped", slog.LevelWarn, "Lines of the log were dropped, since they came faster than they could be written; dropped says how many."}
	EventServeFailed = Event{109, "serve_failed", slog.LevelError, "A listener failed; the process stops."}

	EventConfigApplied  = Event{210, "config_applied", slog.LevelInfo, "A configuration of pass-through routes is in force here."}
	EventRecordRejected = Event{211, "record_rejected", slog.LevelWarn, "A record in the store, or another instance's report of loads, cannot be read and changes nothing."}
	EventServerListed   = Event{212, "server_listed", slog.LevelInfo, "A backend server's entry is new or has changed."}
	EventServerGone     = Event{213, "server_gone", slog.LevelInfo, "A backend server's entry is gone; reason says how."}
	EventEntryIgnored   = Event{214, "entry_ignored", slog.LevelWarn, "A backend server's entry cannot be read; it names no server to use."}
	EventStoreLost      = Event{215, "store_lost", slog.LevelWarn, "A topic of the platform's store does not answer."}
	EventStoreRegained  = Event{216, "store_regained", slog.LevelInfo, "A topic of the platform's store answers again."}

	EventCollector = Event{217, "collector", slog.LevelInfo, "Reads of the store go by another instance of the failure domain from now on; by this one itself where collector is empty."}

	EventDomainDrained   = Event{218, "domain_drained", slog.LevelWarn, "The operator drains a failure domain: its backend servers get nothing new from here; known says whether any instance runs there."}
	EventDomainBack      = Event{219, "domain_back", slog.LevelInfo, "A drained failure domain was taken back; its backend servers are fed slowly at first."}
	EventServerCold      = Event{220, "server_cold", slog.LevelInfo, "A backend server is taken for cold, or all of a failure domain where server is empty; reason says why. It gets little for that time."}
	EventServerLimited   = Event{221, "server_limited", slog.LevelInfo, "A backend server states how many requests a second it takes from all instances together; own says whether an answer told this instance, or another one did."}
	EventServerUnlimited = Event{222, "server_unlimited", slog.LevelInfo, "A backend server states no rate limit any more."}
	EventStoreRestored   = Event{223, "store_restored", slog.LevelWarn, "A topic of the platform's store came back from a copy of an earlier state; its newest records are read again."}
	EventStateKept       = Event{224, "state_kept", slog.LevelInfo, "What is known here is kept though a store that came back from a copy says otherwise; subject and key say what, reason why."}

	EventPassthroughRefused = Event{310, "passthrough_refused", slog.LevelInfo, "A request on a pass-through route was refused and was not run; reason says why."}
	EventPassthroughAttempt = Event{311, "passthrough_attempt", slog.LevelInfo, "An attempt at a backend server ended; load is what decided for the server."}
	EventPassthroughFailed  = Event{312, "passthrough_failed", slog.LevelWarn, "A request ended without a success, and ran or may have run; reason says why."}
	EventCallerLost         = Event{313, "caller_lost", slog.LevelInfo, "A caller has gone before the end of its answer."}

	EventRolloutOrdered   = Event{610, "rollout_ordered", slog.LevelInfo, "The operator ordered a roll-out."}
	EventRolloutStep      = Event{611, "rollout_step", slog.LevelInfo, "The share of a roll-out's new version changed here."}
	EventRolloutEnded     = Event{612, "rollout_ended", slog.LevelWarn, "A roll-out has ended; completed says how, the counts say by which answers."}
	EventRolloutUnwritten = Event{613, "rollout_unwritten", slog.LevelWarn, "A roll-out's state could not be written; it is tried again."}

	EventSettingsReloaded = Event{701, "settings_reloaded", slog.LevelInfo, "The settings file was read again."}
	EventSettingsFaults   = Event{700, "settings_faults", slog.LevelError, "The settings have faults; the process does not start."}
)

// Catalogue lists every event by number. An event that is not in it has no
// place in docs/EVENTS.md, which a test refuses.
func Catalogue() []Event {
	return []Event{
		EventStart, EventListening, EventReady, EventNotReady, EventStop,
		EventDrainBegin, EventDrainEnd, EventDrainCut, EventLogDropped, EventServeFailed,
		EventManifestApplied, EventManifestRejected, EventFreshnessChanged,
		EventLogUnreachable, EventLogReachable, EventStateRestored, EventStateDiverged,
		EventConfigApplied, EventRecordRejected, EventServerListed, EventServerGone, EventEntryIgnored,
		EventStoreLost, EventStoreRegained, EventCollector,
		EventDomainDrained, EventDomainBack, EventServerCold, EventServerLimited, EventServerUnlimited, EventStoreRestored, EventStateKept,
		EventRequestRefused, EventAttemptFailed, EventWrongNonce,
		EventPassthroughRefused, EventPassthroughAttempt, EventPassthroughFailed, EventCallerLost,
		EventBillHeld, EventBillFlushed, EventBillRefused,
		EventPeerConnected, EventPeerLost, EventPeerRejected,
		EventVersionVerdict, EventServerEjected, EventQuarantine,
		EventOrderSent, EventOrderFailed,
		EventRolloutOrdered, EventRolloutStep, EventRolloutEnded, EventRolloutUnwritten,
		EventSettingsFaults, EventSettingsReloaded,
	}
}

// Retired lists numbers that were used once and must not be used again.
func Retired() []int { return nil }
