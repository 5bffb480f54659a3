package passthrough

import "time"

// serverLimit is a server's rate limit as this instance believes it.
type serverLimit struct {
	RateLimit
	// statedAt is when the newest answer that states it came in.
	statedAt time.Time
}

// noteLimit takes in what a server's answer to a request sent at the time states. Answers
// overtake each other: one without a limit ends it only if its request was sent after the limit
// was stated.
func (w *World) noteLimit(s *server, sent time.Time, stated RateLimit) {
	if s == nil || !stated.Limited && (!s.limit.Limited || sent.Before(s.limit.statedAt)) {
		return
	}
	changed := stated != s.limit.RateLimit
	s.limit = serverLimit{RateLimit: stated, statedAt: w.now}
	if changed {
		w.emit(LimitChanged{Server: s.ID, Limit: stated})
	}
}
