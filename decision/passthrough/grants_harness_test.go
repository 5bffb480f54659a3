package passthrough

import "time"

// obtainGrant asks the holders for the grant that a dispatch needs, as the router does, and reports to the instance if it
// gets none. peer returns an instance by name, nil for one that gives no answer.
func obtainGrant(h *harness, c Dispatch, peer func(name string) *harness) (wait time.Duration, ok bool) {
	if len(c.Holders) == 0 {
		return c.GrantWait, true
	}
	for _, name := range c.Holders {
		if name == h.world.neighbours.self {
			return settleGrant(h, c, h)
		}
		asked := peer(name)
		if asked == nil {
			continue
		}
		for _, senior := range asked.world.SeniorHolders(c.Server.ID) {
			if s := peer(senior); s != nil {
				return settleGrant(h, c, s)
			}
		}
		return settleGrant(h, c, asked)
	}
	h.tick(AttemptEnded{Request: c.Request, Result: NotSent, NoGrant: true})
	return 0, false
}

// grant asks this instance, as the router does.
func (h *harness) grant(in GrantRequest) (Grant, bool) {
	if l, ok := h.world.UnknownLimit(in); ok {
		h.tick(PeerLimits{[]PeerLimit{l}})
	}
	return h.world.Grant(h.now, in)
}

// settleGrant asks one instance.
func settleGrant(h *harness, c Dispatch, asked *harness) (wait time.Duration, ok bool) {
	asked.now = later(asked.now, h.now)
	got, ok := asked.grant(c.GrantRequest)
	switch {
	case !ok:
		h.tick(AttemptEnded{Request: c.Request, Result: Withheld, Declined: true})
	case !got.Given:
		h.tick(AttemptEnded{Request: c.Request, Result: NotSent, NoGrant: true, GrantAfter: got.Wait})
	}
	return got.Wait, ok && got.Given
}
