package passthrough

import (
	"context"
	"log/slog"
	"math"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"masticplank.example/decision/passthrough"
	"masticplank.example/router/internal/logging"
)

// journal writes the log and counts the metrics of the pass-through side.
type telemetry struct {
	log      *logging.Logger
	clock    Clock
	config   *ConfigState
	registry gometrics.Registry
}

// The attributes of a line on a request.
const (
	keyRequest = "request"
	keyRoute   = "route"
	keyTeam    = "team"
	keySession = "session"
	keyServer  = "server"
	keyReason  = "reason"
	keyVersion = "config"
	keyAge     = "config_age_ms"
	keyTook    = "took_ms"
)

// about is what every line on a request says: its id, and by which configuration, of
// which age, it was decided.
func (j *telemetry) requestAttrs(c *call, more ...slog.Attr) []slog.Attr {
	out := make([]slog.Attr, 0, 6+len(more))
	out = append(out, slog.String(keyRequest, c.caller.RequestID))
	if c.route != nil {
		out = append(out, slog.String(keyRoute, c.route.Name))
	}
	if c.team != nil {
		out = append(out, slog.String(keyTeam, c.team.Name))
	}
	if c.caller.Session != "" {
		out = append(out, slog.String(keySession, c.caller.Session))
	}
	if index := j.config.Index(); index != nil {
		out = append(out, slog.Uint64(keyVersion, index.Version), slog.Int64(keyAge, j.config.Age().Milliseconds()))
	}
	out = append(out, slog.Int64(keyTook, j.clock.Now().Sub(c.arrived).Milliseconds()))
	return append(out, more...)
}

func (j *telemetry) emit(ev logging.Event, attrs ...slog.Attr) {
	j.log.Emit(context.Background(), ev, attrs...)
}

func (j *telemetry) count(name string) {
	gometrics.GetOrRegisterCounter("passthrough."+name, j.registry).Inc(1)
}

func (j *telemetry) gauge(name string, value int) {
	gometrics.GetOrRegisterGauge("passthrough."+name, j.registry).Update(int64(value))
}

func (j *telemetry) observeDuration(name string, took time.Duration) {
	const sample, alpha = 1028, 0.015 // the library's own advice for a sample of five minutes
	h := j.registry.GetOrRegister("passthrough."+name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewExpDecaySample(sample, alpha))
	}).(gometrics.Histogram)
	h.Update(took.Milliseconds())
}

// cooled tells that servers are taken for cold. The driver calls it, so it must not block.
func (j *telemetry) slowStart(c passthrough.SlowStartBegun) {
	j.count("cooled." + string(c.Cause))
	j.emit(logging.EventServerCold, slog.String(keyServer, c.Server), slog.String("domain", c.Domain),
		slog.Int("servers", c.Servers), slog.Int64("for_ms", c.Duration.Milliseconds()), slog.String(keyReason, string(c.Cause)))
}

// stateKept tells of what is kept though a restored store says otherwise.
func (j *telemetry) logStateKept(subject, key, why string) {
	j.count("restore.kept." + subject)
	j.emit(logging.EventStateKept, slog.String("subject", subject), slog.String("key", key), slog.String(keyReason, why))
}

// limitChanged tells of a server's rate limit. The driver calls it, so it must not block.
func (j *telemetry) rateLimitChanged(c passthrough.RateLimitChanged) {
	if !c.Limit.Limited {
		j.count("limit_ended")
		j.emit(logging.EventServerUnlimited, slog.String(keyServer, c.Server), slog.Bool("own", c.Own), slog.Int64("age_ms", c.Age.Milliseconds()))
		return
	}
	j.count("limit_stated")
	j.emit(logging.EventServerLimited, slog.String(keyServer, c.Server), slog.Float64("per_second", c.Limit.PerSecond),
		slog.Bool("own", c.Own), slog.Int64("age_ms", c.Age.Milliseconds()))
}

// unreadableLoads tells of another instance's report of loads that changes nothing.
func (j *telemetry) logUnreadableLoads(from string, err error) {
	j.emit(logging.EventRecordRejected, slog.String("from", from), slog.String(logging.KeyError, err.Error()))
}

func (j *telemetry) refused(c *call, ref refusal) {
	j.count("refused." + string(ref.reason))
	j.emit(logging.EventPassthroughRefused, j.requestAttrs(c,
		slog.Int("status", ref.status), slog.String(keyReason, string(ref.reason)),
		slog.Int64("retry_after_ms", ref.retryAfter.Milliseconds()))...)
}

func (j *telemetry) attempted(c *call, d passthrough.Dispatch, out outcome) {
	j.count("attempt." + out.result.String())
	if out.firstByte > 0 {
		j.observeDuration("first_byte_ms", out.firstByte)
	}
	attrs := j.requestAttrs(c,
		slog.String(keyServer, d.Server.ID), slog.String("software", d.Server.Version),
		slog.Int("attempt", d.Attempt), slog.String("result", out.result.String()),
		slog.Int("load", d.Load), slog.Int64("load_age_ms", d.LoadAge.Milliseconds()),
		slog.Int64("first_ms", out.firstByte.Milliseconds()))
	if d.Model != "" {
		attrs = append(attrs, slog.String("model", d.Model), slog.Float64("confidence", out.confidence), slog.Float64("bar", math.Round(100*out.confidenceThreshold)/100),
			slog.Float64("taken", math.Round(100*d.Utilization)/100),
			slog.Int64("wait_ms", d.PrefillWait.Milliseconds()), slog.Int64("mean_wait_ms", d.MeanPrefillWait.Milliseconds()), slog.Float64("repeats_left", math.Round(d.RetriesLeft)),
			slog.Int("prompt_tokens", c.caller.PromptTokens), slog.Int("most_tokens", c.caller.MaxTokens))
	}
	if d.Limit.Limited {
		j.count("dispatch.limited")
		attrs = append(attrs, slog.Float64("limit", d.Limit.PerSecond))
	}
	if out.limit != nil && out.limit.Limited {
		attrs = append(attrs, slog.Float64("told_limit", out.limit.PerSecond))
	}
	if out.load != nil {
		attrs = append(attrs, slog.Int("told_running", out.load.Running), slog.Int("told_waiting", out.load.Waiting))
	}
	if out.eventInterval > 0 {
		attrs = append(attrs, slog.Int64("pace_ms", out.eventInterval.Milliseconds()))
	}
	if out.err != nil {
		attrs = append(attrs, slog.String(logging.KeyError, out.err.Error()))
	}
	j.emit(logging.EventPassthroughAttempt, attrs...)
}

func (j *telemetry) finished(c *call, status int, reason passthrough.Reason) {
	j.observeDuration("answer_ms", j.clock.Now().Sub(c.arrived))
	j.count("finished")
	if reason == "" {
		return // the attempt's line says it all
	}
	j.count("failed." + string(reason))
	j.emit(logging.EventPassthroughFailed, j.requestAttrs(c, slog.Int("status", status), slog.String(keyReason, string(reason)))...)
}

func (j *telemetry) callerLost(c *call, err error) {
	j.count("caller_lost")
	j.emit(logging.EventCallerLost, j.requestAttrs(c, slog.String(logging.KeyError, err.Error()))...)
}
