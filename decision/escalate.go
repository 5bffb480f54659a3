package decision

// escalate judges ratings.
func (w *World) escalate() {}
