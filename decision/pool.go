package decision

// versionPool returns the version's pool and creates it if it does not exist: the
// server list and the manifest may arrive in either order.
func (w *World) versionPool(id VersionID) *pool {
	p := w.versionPools[id]
	if p == nil {
		p = w.newPool()
		p.version = id
		w.versionPools[id] = p
	}
	return p
}

// servicePool returns the plain service's pool and creates it if it does not exist.
func (w *World) servicePool(id ServiceID) *pool {
	p := w.servicePools[id]
	if p == nil {
		p = w.newPool()
		p.service = id
		w.servicePools[id] = p
	}
	return p
}

func (w *World) newPool() *pool {
	p := &pool{queuedPos: -1}
	if w.cfg.Policy.FIFO {
		p.shared = &flow{}
		p.queue.AddFlow(&p.shared.Flow, w.fairness.NewAccount(1))
	}
	return p
}
