package place

// NotLeaving drops servers that are leaving, for example because a rack or a
// failure domain is replaced: work still running when the server stops would be
// cut off.
type NotLeaving struct{}

// Keep implements Filter.
func (NotLeaving) Keep(c *Candidate) bool { return !c.Leaving }

// NotEjected drops ejected servers. A failing server looks idle, since failing is
// fast, and would attract all work.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(c *Candidate) bool { return !c.Ejected }

// HasFreeSlot drops servers on which this instance already runs as many attempts
// as they have slots. At saturation, work would otherwise wait in a server's own
// queue, where no other server can take it over and the teams' shares are not
// enforced.
type HasFreeSlot struct{}

// Keep implements Filter.
func (HasFreeSlot) Keep(c *Candidate) bool { return c.Running < c.Slots }

// HasVersion drops servers that do not have the version loaded, for example
// because of a roll-out or a change of the server's role that the prefix index
// does not know yet. Such a server would answer with another version, or load
// many gigabytes first.
type HasVersion struct{}

// Keep implements Filter.
func (HasVersion) Keep(c *Candidate) bool { return c.VersionLoaded }

// NotAvoided drops servers that the request should avoid (see Candidate.Avoid).
// One that crashes under load, for example, would cost a further attempt on the
// same fault.
type NotAvoided struct{}

// Keep implements Filter.
func (NotAvoided) Keep(c *Candidate) bool { return !c.Avoid }
