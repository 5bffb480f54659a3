package passthrough

import "masticplank.example/decision/admission"

// applyPeerDemand applies what the callers of the other instances ask for.
func (w *World) applyPeerDemand(e PeerDemand) {}

// OwnDemand returns what the callers of this instance ask for; nothing unless admission is shared.
func (w *World) OwnDemand() []admission.Demand { return nil }
