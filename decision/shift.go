package decision

// shift judges versions and servers.
func (w *World) shift() {}
