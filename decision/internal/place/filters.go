package place

// Staying drops servers that are leaving. Load: a rack or a failure domain that
// is replaced. Harm: work that is cut off when the server goes.
type NotLeaving struct{}

// Keep implements Filter.
func (NotLeaving) Keep(c *Candidate) bool { return !c.Leaving }

// Healthy drops ejected servers. Load: one slow or failing server. Harm: it
// looks idle, since failing is fast, and draws all work to itself.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(c *Candidate) bool { return !c.Ejected }

// Room drops servers at their capacity. Load: saturation. Harm: work that waits
// in a server's own queue, where no other server can take it and no team's share
// holds.
type HasFreeSlot struct{}

// Keep implements Filter.
func (HasFreeSlot) Keep(c *Candidate) bool { return c.Running < c.Slots }

// HasVersion drops servers that do not have the version loaded. Load: a roll-out
// or a role change that the prefix index has not heard of. Harm: an answer from
// another version, or a wait for a load of many gigabytes.
type HasVersion struct{}

// Keep implements Filter.
func (HasVersion) Keep(c *Candidate) bool { return c.VersionLoaded }

// Untried drops servers where the request failed already. Load: a server that
// dies under load. Harm: attempts spent on the same fault.
type NotTried struct{}

// Keep implements Filter.
func (NotTried) Keep(c *Candidate) bool { return !c.Tried }
