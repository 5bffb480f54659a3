package passthrough

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/decision/passthrough"
	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/logging"
)

// telemetry writes the log events and metrics of pass-through routes.
type telemetry struct {
	log      *logging.Logger
	clock    Clock
	config   *ConfigState
	registry gometrics.Registry
	// unreadableLoads are the servers whose unreadable loads were logged.
	unreadableLoads processSet
}

// The log attributes of events about a request.
const (
	keyRequest       = "request"
	keyRoute         = "route"
	keyTeam          = "team"
	keySession       = "session"
	keyServer        = "server"
	keyReason        = "reason"
	keyConfigVersion = "config"
	keyConfigAge     = "config_age_ms"
	keyTook          = "took_ms"
	keyForecast      = "forecast_ms"
	keyTimeLeft      = "time_left_ms"
)

// requestAttrs returns the attributes that all events about a request have, followed by those in more:
// the request's id, route, team and session, as far as known, the version and age of the configuration
// in force, and the time since the request arrived.
func (t *telemetry) requestAttrs(c *call, more ...slog.Attr) []slog.Attr {
	out := make([]slog.Attr, 0, 6+len(more))
	out = append(out, slog.String(keyRequest, shortName(c.caller.RequestID)))
	if c.route != nil {
		out = append(out, slog.String(keyRoute, c.route.Name))
	}
	if c.team != nil {
		out = append(out, slog.String(keyTeam, c.team.Name))
	}
	if c.caller.Session != "" {
		out = append(out, slog.String(keySession, shortName(c.caller.Session)))
	}
	if index := t.config.Index(); index != nil {
		out = append(out, slog.Uint64(keyConfigVersion, index.Version), slog.Int64(keyConfigAge, t.config.Age().Milliseconds()))
	}
	out = append(out, slog.Int64(keyTook, t.clock.Now().Sub(c.arrived).Milliseconds()))
	return append(out, more...)
}

// partNames lists the parts of a prompt for the log.
func partNames(parts []string) string {
	var names []string
	for _, p := range parts {
		names = append(names, shortName(p))
	}
	return strings.Join(names, ",")
}

func (t *telemetry) emit(ev logging.Event, attrs ...slog.Attr) {
	t.log.Emit(context.Background(), ev, attrs...)
}

func (t *telemetry) count(name string) {
	gometrics.GetOrRegisterCounter("passthrough."+name, t.registry).Inc(1)
}

func (t *telemetry) gauge(name string, value int) {
	gometrics.GetOrRegisterGauge("passthrough."+name, t.registry).Update(int64(value))
}

// gaugeConnections sets the gauges of a listener's connections.
func (t *telemetry) gaugeConnections(listener string, u connlimit.Usage) {
	t.gauge("connections."+listener+".open", u.Conns)
	t.gauge("connections."+listener+".bytes", int(u.Bytes))
	t.gauge("connections."+listener+".evicted", int(u.Evicted))
	t.gauge("connections."+listener+".rejected", int(u.Rejected))
}

func (t *telemetry) observeDuration(name string, duration time.Duration) {
	const sampleSize, alpha = 1028, 0.015 // the library's recommendation for a bias to the last five minutes
	h := t.registry.GetOrRegister("passthrough."+name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, alpha))
	}).(gometrics.Histogram)
	h.Update(duration.Milliseconds())
}

// logSlowStart counts and logs that servers have entered slow start. The driver calls it, so it must
// not block.
func (t *telemetry) logSlowStart(c passthrough.SlowStartBegun) {
	t.count("cooled." + string(c.Cause))
	t.emit(logging.EventServerCold, slog.String(keyServer, c.Server), slog.String("domain", c.Domain),
		slog.Int("servers", c.ServerCount), slog.Int64("for_ms", c.Duration.Milliseconds()), slog.String(keyReason, string(c.Cause)))
}

// logStateKept counts and logs state that is kept although a restored store lacks or contradicts it.
func (t *telemetry) logStateKept(subject, key, why string) {
	t.count("restore.kept." + subject)
	t.emit(logging.EventStateKept, slog.String("subject", subject), slog.String("key", key), slog.String(keyReason, why))
}

// logRateLimitChanged counts and logs a change of a server's rate limit. The driver calls it, so it
// must not block.
func (t *telemetry) logRateLimitChanged(c passthrough.RateLimitChanged) {
	if !c.Limit.Limited {
		t.count("limit_ended")
		t.emit(logging.EventServerUnlimited, slog.String(keyServer, c.Server), slog.Bool("own", c.Own), slog.Int64("age_ms", c.Age.Milliseconds()))
		return
	}
	t.count("limit_stated")
	t.emit(logging.EventServerLimited, slog.String(keyServer, c.Server), slog.Float64("per_second", c.Limit.PerSecond),
		slog.Bool("own", c.Own), slog.Int64("age_ms", c.Age.Milliseconds()))
}

// logServerLeaving counts and logs a server that states that it is leaving. The driver calls it, so it
// must not block.
func (t *telemetry) logServerLeaving(c passthrough.ServerLeaving) {
	t.count("leaving_stated")
	t.emit(logging.EventServerLeaving, slog.String(keyServer, c.Server), slog.Bool("own", c.Own))
}

// logBackoffStated counts and logs a server that wants no requests for a time. The driver calls it, so it
// must not block.
func (t *telemetry) logBackoffStated(c passthrough.BackoffStated) {
	t.count("backoff_stated")
	t.emit(logging.EventServerBackoff, slog.String(keyServer, c.Server), slog.Int64("for_ms", c.Duration.Milliseconds()))
}

// logPathChanged counts and logs that the path to the backend servers is lost, or is back. The driver calls
// it, so it must not block.
func (t *telemetry) logPathChanged(c passthrough.PathChanged) {
	if c.State == reach.Lost {
		t.count("path_lost")
		t.gauge("path_is_lost", 1)
		t.emit(logging.EventPathLost, slog.Int("unreached", c.Unreached))
		return
	}
	t.gauge("path_is_lost", 0)
	t.emit(logging.EventPathRestored, slog.Int64("after_ms", c.Duration.Milliseconds()))
}

// logNoPath counts and logs that a search has found no peer with a path.
func (t *telemetry) logNoPath(known int) {
	t.count("path_nowhere")
	t.emit(logging.EventPathNowhere, slog.Int("known", known))
}

// logSilentHolder counts and logs that the holder of some backend server's rate has not answered.
func (t *telemetry) logSilentHolder(holder string, err error) {
	t.count("holder_silent")
	t.emit(logging.EventHolderSilent, slog.String("holder", holder), slog.String(logging.KeyError, err.Error()))
}

// logBrittle counts and logs that a service's servers state that they are brittle, or no longer do. The driver
// calls it, so it must not block.
func (t *telemetry) logBrittle(c passthrough.BrittleChanged) {
	t.count("brittle_changed")
	t.emit(logging.EventServiceBrittle, slog.String("service", c.Service), slog.Bool("brittle", c.Brittle), slog.Float64("per_second", c.PerSecond))
}

// logServerSpeed counts and logs that a server is slow without stating it, or no longer is. The driver calls it, so it
// must not block.
func (t *telemetry) logServerSpeed(c passthrough.SpeedChanged) {
	t.count("speed_changed")
	t.emit(logging.EventServerSpeed, slog.String(keyServer, c.Server), slog.Bool("slow", c.Slow), slog.Float64("factor", round2(c.Factor)))
}

// gaugeSpeeds sets the numbers of servers of services that state speeds, by class.
func (t *telemetry) gaugeSpeeds(c passthrough.SpeedClasses) {
	t.gauge("speed.fast", c.Fast)
	t.gauge("speed.usual", c.Usual)
	t.gauge("speed.slow", c.Slow)
	t.gauge("speed.unstated_slow", c.UnstatedSlow)
}

// logServerOutlier counts and logs that a server is ejected by the evidence of all instances, or is used again. The driver
// calls it, so it must not block.
func (t *telemetry) logServerOutlier(c passthrough.ServerEjected) {
	t.count("outlier_changed")
	t.emit(logging.EventServerOutlier, slog.String(keyServer, c.Server), slog.Bool("ejected", c.Ejected),
		slog.Float64("failed", round2(c.Failed)), slog.Float64("attempts", round2(c.Total)), slog.Int64("for_ms", c.For.Milliseconds()))
}

// gaugeEjected sets the number of servers that are ejected by the evidence of all instances.
func (t *telemetry) gaugeEjected(count int) { t.gauge("servers_ejected", count) }

func round2(x float64) float64 { return math.Round(100*x) / 100 }

// logPartsQuarantined counts and logs parts of prompts that are quarantined. The driver calls it, so it must not
// block.
func (t *telemetry) logPartsQuarantined(c passthrough.PartsQuarantined) {
	t.count("parts_quarantined")
	t.emit(logging.EventPartsQuarantined, slog.String("parts", fmt.Sprintf("%x", c.Verdict.Parts)), slog.Int("crashes", c.Verdict.Crashes),
		slog.Int64("since_ms", t.clock.Now().Sub(c.Verdict.Since).Milliseconds()), slog.Bool("own", c.Own))
}

// logUnreadableLoads logs a peer's load report that cannot be read and is ignored.
func (t *telemetry) logUnreadableLoads(from string, err error) {
	t.emit(logging.EventRecordRejected, slog.String("from", from), slog.String(logging.KeyError, err.Error()))
}

// logUnreadableServerLoad counts a stated load that cannot be read, and logs the first one of each process of a server.
func (t *telemetry) logUnreadableServerLoad(s passthrough.Server) {
	t.count("load_unreadable")
	if t.unreadableLoads.add(s) {
		t.emit(logging.EventLoadUnreadable, slog.String(keyServer, s.ID))
	}
}

// logIdleReset counts and logs a server that has reset an idle connection.
func (t *telemetry) logIdleReset(s passthrough.Server) {
	t.count("idle_reset")
	t.emit(logging.EventIdleReset, slog.String(keyServer, s.ID))
}

// logRefused counts and logs a refused request.
func (t *telemetry) logRefused(c *call, ref refusal, held *heldBytes) {
	t.count("refused." + string(ref.reason))
	attrs := t.requestAttrs(c, slog.Int("status", ref.status), slog.String(keyReason, string(ref.reason)),
		slog.Int64("retry_after_ms", ref.retryAfter.Milliseconds()))
	if ref.reason == passthrough.ReasonNoTime {
		attrs = append(attrs, slog.Int64(keyForecast, c.forecast.Milliseconds()), slog.Int64(keyTimeLeft, c.timeLeft.Milliseconds()))
	}
	if ref.reason == reasonNoRoom {
		sums := held.sums()
		attrs = append(attrs, slog.Int64("body_bytes", c.request.ContentLength), slog.Int64("held_request_bytes", sums[toServer]),
			slog.Int64("held_response_bytes", sums[toCaller]), slog.Int64("held_bound", held.limitOf(toServer)))
	}
	if ref.reason == passthrough.ReasonPartQuarantined {
		attrs = append(attrs, slog.String("parts", partNames(c.caller.SharedParts)))
	}
	t.emit(logging.EventPassthroughRefused, append(attrs, admissionAttrs(c.admission)...)...)
}

// admissionAttrs are the attributes of a request that was refused for lack of room: the level, room and demand of its
// class, its rank, and what was known of the other instances.
func admissionAttrs(a *passthrough.AdmissionState) []slog.Attr {
	if a == nil {
		return nil
	}
	return []slog.Attr{
		slog.Float64("admitted_fraction", math.Round(1000*a.Fraction)/1000), slog.Float64("room", math.Round(10*a.Room)/10), slog.Float64("offered", math.Round(10*a.Offered)/10),
		slog.Int("priority", a.Priority), slog.Int("route_priority", a.RoutePriority), slog.Bool("returned", a.Returned), slog.Int("position", a.Position),
		slog.Float64("known_instances", math.Round(a.Known)), slog.Int64("known_age_ms", a.KnownAge.Milliseconds()),
	}
}

// showAdmission sets the gauges of level and room, for each service, priority and priority of the route: the level in thousandths, room and
// demand in units of work a second.
func (t *telemetry) showAdmission(levels []passthrough.AdmissionState) {
	for _, a := range levels {
		name := fmt.Sprintf("admission.%s.%d.%d.", a.Service, a.Priority, a.RoutePriority)
		t.gauge(name+"level", int(math.Round(1000*a.Fraction)))
		t.gauge(name+"room", int(min(a.Room, math.MaxInt32)))
		t.gauge(name+"offered", int(a.Offered))
	}
}

// grantAttrs counts an attempt at a rate-limited server by how it got its grant, and returns what the log says of it.
func (t *telemetry) grantAttrs(d passthrough.Dispatch, out outcome) []slog.Attr {
	how, holder := "own", ""
	switch {
	case out.noGrant && out.grantAfter == 0:
		how = "unanswered"
	case out.noGrant:
		how = "refused"
	case len(d.Holders) > 0:
		how = "asked"
	}
	if len(d.Holders) > 0 {
		holder = d.Holders[0]
	}
	t.count("grant." + how)
	return []slog.Attr{slog.String("grant", how), slog.String("holder", holder), slog.Int64("grant_wait_ms", out.grantWait.Milliseconds())}
}

// logAttempt counts and logs an attempt that has ended.
func (t *telemetry) logAttempt(c *call, d passthrough.Dispatch, out outcome) {
	t.count("attempt." + out.result.String())
	if out.callerStalled {
		t.count("attempt.caller_stalled")
	}
	if out.firstByte > 0 {
		t.observeDuration("first_byte_ms", out.firstByte)
	}
	attrs := t.requestAttrs(c,
		slog.String(keyServer, d.Server.ID), slog.String("software", d.Server.Version),
		slog.Int("attempt", d.Attempt), slog.String("result", out.result.String()),
		slog.Int("load", d.Load), slog.Int64("load_age_ms", d.LoadAge.Milliseconds()),
		slog.Int64("first_ms", out.firstByte.Milliseconds()))
	if d.Speed > 0 {
		attrs = append(attrs, slog.Float64("speed", round2(d.Speed)), slog.Float64("stated_slowdown", round2(d.StatedSlowdown)),
			slog.Int64("stated_age_ms", d.StatedAge.Milliseconds()))
	}
	if d.Model != "" {
		attrs = append(attrs, slog.String("model", d.Model), slog.Float64("confidence", out.confidence), slog.Float64("bar", math.Round(100*out.confidenceThreshold)/100),
			slog.Float64("taken", math.Round(100*d.Utilization)/100),
			slog.Int64("wait_ms", d.PrefillWait.Milliseconds()), slog.Int64("mean_wait_ms", d.MeanPrefillWait.Milliseconds()), slog.Float64("repeats_left", math.Round(d.RetriesLeft)),
			slog.Int("prompt_tokens", c.caller.PromptTokens), slog.Int("most_tokens", c.caller.MaxTokens))
	}
	if d.Forecast > 0 {
		t.observeForecast(c, d, out)
		attrs = append(attrs, slog.Int64(keyForecast, d.Forecast.Milliseconds()), slog.Int("expected_tokens", c.caller.ExpectedTokens))
	}
	attrs = append(attrs, t.largerAttrs(c, d, out)...)
	if len(c.caller.SharedParts) > 0 {
		attrs = append(attrs, slog.String("parts", partNames(c.caller.SharedParts)), slog.Int("events", out.events),
			slog.Int64("server_start_ms", d.Server.StartTime))
	}
	if d.GrantWait > 0 || len(d.Holders) > 0 {
		attrs = append(attrs, t.grantAttrs(d, out)...)
	}
	if d.Limit.Limited {
		t.count("dispatch.limited")
		attrs = append(attrs, slog.Float64("limit", d.Limit.PerSecond))
	}
	if out.limit != nil && out.limit.Limited {
		attrs = append(attrs, slog.Float64("told_limit", out.limit.PerSecond))
	}
	if out.peer != "" {
		t.count("attempt.via_peer")
		attrs = append(attrs, slog.String("peer", out.peer))
	}
	if out.toldLeaving {
		t.count("attempt.told_leaving")
		attrs = append(attrs, slog.Bool("told_leaving", true))
	}
	if out.toldRetryAfter > 0 {
		t.count("attempt.told_retry_after")
		attrs = append(attrs, slog.Int64("told_retry_after_ms", out.toldRetryAfter.Milliseconds()))
	}
	if out.load != nil {
		attrs = append(attrs, slog.Int("told_running", out.load.Running), slog.Int("told_waiting", out.load.Waiting))
		if out.load.Slowdown > 0 {
			attrs = append(attrs, slog.Float64("told_slowdown", out.load.Slowdown))
		}
	}
	if out.eventInterval > 0 {
		attrs = append(attrs, slog.Int64("pace_ms", out.eventInterval.Milliseconds()))
	}
	if out.callerStalled {
		attrs = append(attrs, slog.Bool("caller_stalled", true))
	}
	if out.heldUnread {
		attrs = append(attrs, slog.Bool("held_unread", true))
	}
	if out.err != nil {
		attrs = append(attrs, slog.String(logging.KeyError, out.err.Error()))
	}
	t.emit(logging.EventPassthroughAttempt, attrs...)
}

// observeForecast counts attempts by what was forecast: in time or late, and whether they completed.
func (t *telemetry) observeForecast(c *call, d passthrough.Dispatch, out outcome) {
	name := "forecast.in_time."
	if d.Forecast > c.deadline.Sub(d.At) {
		name = "forecast.late."
	}
	t.count(name + out.result.String())
}

// logGivenUp counts and logs an attempt that is given up as another server is forecast to end the response in time.
func (t *telemetry) logGivenUp(c *call, s passthrough.Server, p passthrough.Progress, why passthrough.GivenUp) {
	t.count("attempt.given_up")
	t.emit(logging.EventAttemptGivenUp, t.requestAttrs(c, slog.String(keyServer, s.ID), slog.Int("events", p.Events),
		slog.Int64("event_interval_ms", p.Interval.Milliseconds()), slog.Int64("first_forecast_ms", why.First.Milliseconds()),
		slog.Int64("elsewhere_ms", why.Elsewhere.Milliseconds()), slog.Int64(keyTimeLeft, why.Left.Milliseconds()))...)
}

// largerAttrs counts what a larger model was asked for in vain, weak responses that were kept and waits for a larger model,
// and returns the attributes that say why. Nothing is counted where each instance decides this alone.
func (t *telemetry) largerAttrs(c *call, d passthrough.Dispatch, out outcome) []slog.Attr {
	var attrs []slog.Attr
	if d.Pooled {
		attrs = append(attrs, slog.Bool("pooled", true))
	}
	if out.keptBecause != "" && out.result == passthrough.Completed {
		t.count("weak_kept." + out.keptBecause)
		attrs = append(attrs, slog.String("kept", out.keptBecause))
	}
	if d.WaitedForLarger > 0 {
		t.count("larger.waited")
		t.observeDuration("larger_wait_ms", d.WaitedForLarger)
		attrs = append(attrs, slog.Int64("larger_wait_ms", d.WaitedForLarger.Milliseconds()))
	}
	if !d.LargerModel {
		return attrs
	}
	switch {
	case out.result != passthrough.Completed:
		t.count("larger.broken")
	case d.SinceArrival+out.firstByte > c.route.TargetLatency:
		t.count("larger.late")
	}
	return attrs
}

// logFinished counts a request that has ended, and logs it if it failed; reason is empty for a
// success.
func (t *telemetry) logFinished(c *call, status int, reason passthrough.Reason) {
	t.observeDuration("answer_ms", t.clock.Now().Sub(c.arrived))
	t.count("finished")
	if reason == "" {
		return // the attempt's event has all details
	}
	t.count("failed." + string(reason))
	t.emit(logging.EventPassthroughFailed, t.requestAttrs(c, slog.Int("status", status), slog.String(keyReason, string(reason)))...)
}

// logCallerLost counts and logs a caller that has disconnected.
func (t *telemetry) logCallerLost(c *call, err error) {
	t.count("caller_lost")
	t.emit(logging.EventCallerLost, t.requestAttrs(c, slog.String(logging.KeyError, err.Error()))...)
}
