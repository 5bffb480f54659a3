package grant

import (
	"net/url"
	"strconv"
	"time"

	"masticplank.example/decision/passthrough"
)

// Path is the path of the requests that ask for a grant, with the question in the query.
const Path = "/grants"

// The parameters of the query. Times are in microseconds, and sent as durations, since the clocks of the instances differ.
const (
	paramServer    = "server"
	paramStart     = "start"
	paramSlowStart = "slow_start"
	paramLimit     = "limit"
	paramLimitAge  = "limit_age"
	paramMaxWait   = "max_wait"
	paramForwarded = "forwarded"
)

// question is a request for a grant as it is sent. forwarded is true if it was passed on by an instance that was asked.
type question struct {
	passthrough.GrantRequest
	forwarded bool
}

func (q question) query() string {
	v := url.Values{
		paramServer: {q.Server}, paramStart: {strconv.FormatInt(q.StartTime, 10)},
		paramMaxWait: {strconv.FormatInt(q.MaxWait.Microseconds(), 10)},
	}
	if q.SlowStart {
		v.Set(paramSlowStart, "1")
	}
	if q.Limit.Limited {
		v.Set(paramLimit, strconv.FormatFloat(q.Limit.PerSecond, 'g', -1, 64))
		v.Set(paramLimitAge, strconv.FormatInt(q.LimitAge.Microseconds(), 10))
	}
	if q.forwarded {
		v.Set(paramForwarded, "1")
	}
	return v.Encode()
}

// parseQuestion reads what query has written.
func parseQuestion(v url.Values) (question, error) {
	q := question{forwarded: v.Has(paramForwarded)}
	q.Server, q.SlowStart = v.Get(paramServer), v.Has(paramSlowStart)
	var err error
	if q.StartTime, err = strconv.ParseInt(v.Get(paramStart), 10, 64); err != nil {
		return q, err
	}
	if q.MaxWait, err = parseDuration(v.Get(paramMaxWait)); err != nil || !v.Has(paramLimit) {
		return q, err
	}
	q.Limit.Limited = true
	if q.Limit.PerSecond, err = strconv.ParseFloat(v.Get(paramLimit), 64); err != nil {
		return q, err
	}
	q.LimitAge, err = parseDuration(v.Get(paramLimitAge))
	return q, err
}

// maxDuration bounds the durations in questions and answers.
const maxDuration = time.Hour

func parseDuration(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	return toDuration(n), err
}

// toDuration returns a number of microseconds as a duration, between 0 and maxDuration.
func toDuration(microseconds int64) time.Duration {
	return time.Duration(min(max(microseconds, 0), maxDuration.Microseconds())) * time.Microsecond
}

// answer is an answer to a question. Declined is true if the server gets no requests, as far as the holder knows.
type answer struct {
	Given    bool  `json:"given,omitempty"`
	WaitUS   int64 `json:"wait_us,omitempty"`
	Declined bool  `json:"declined,omitempty"`
}

// unpack returns the grant, or ErrDeclined.
func (a answer) unpack() (passthrough.Grant, error) {
	if a.Declined {
		return passthrough.Grant{}, ErrDeclined
	}
	return passthrough.Grant{Given: a.Given, Wait: toDuration(a.WaitUS)}, nil
}
