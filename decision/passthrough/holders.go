package passthrough

import (
	"cmp"
	"slices"
)

// The holders of a server are chosen by rendezvous hashing among the instances of one failure domain, so that
// instances that know the same neighbours agree on them.

// neighbours are the instances of this one's failure domain, itself included.
type neighbours struct {
	// hashes are the hashes of their names.
	hashes []uint64
	// names are the instances' names, in the order of hashes; self is that of this instance.
	names []string
	self  string
	// version changes with hashes; 0 as long as no neighbours are known.
	version int
}

func (w *World) setNeighbours(e Neighbours) {
	n := neighbours{version: w.neighbours.version + 1, names: e.Names, self: e.Self}
	for _, name := range e.Names {
		n.hashes = append(n.hashes, hashString(name))
	}
	w.neighbours = n
}

// setRemoteNeighbours records the instances of another failure domain.
func (w *World) setRemoteNeighbours(e RemoteNeighbours) {
	if known := w.remoteNeighbours[e.Domain]; e.Domain == w.cfg.Domain || known != nil && slices.Equal(known.names, e.Names) {
		return
	}
	n := &neighbours{names: e.Names}
	for _, name := range e.Names {
		n.hashes = append(n.hashes, hashString(name))
	}
	w.remoteNeighbours[e.Domain] = n
	w.remoteVersion++
}

// instancesOf returns the known instances of a failure domain, nil for none.
func (w *World) instancesOf(domain string) *neighbours {
	if domain == w.cfg.Domain {
		return &w.neighbours
	}
	return w.remoteNeighbours[domain]
}

// ranked returns the names of the instances in the order of their ranks for the key.
func (n *neighbours) ranked(key uint64) []string {
	list := make([]int, len(n.hashes))
	for i := range list {
		list[i] = i
	}
	slices.SortFunc(list, func(a, b int) int { return cmp.Compare(mix(n.hashes[b]^key), mix(n.hashes[a]^key)) })
	out := make([]string, len(list))
	for rank, i := range list {
		out[rank] = n.names[i]
	}
	return out
}

// holderDomain is the failure domain of a server's holders: the server's own, or one chosen by the key if no instances run
// there.
func (w *World) holderDomain(domain string, key uint64) string {
	switch {
	case len(w.cfg.Domains) == 0:
		return w.cfg.Domain
	case slices.Contains(w.cfg.Domains, domain):
		return domain
	}
	return domainByHash(w.cfg.Domains, key)
}

// reserveDomain is the failure domain of the holders that are asked if none of a server's own failure domain answers: one
// of those whose instances are known; "" for none.
func (w *World) reserveDomain(home string, key uint64) string {
	domains := slices.DeleteFunc(slices.Clone(w.cfg.Domains), func(d string) bool { return d == home || w.instancesOf(d) == nil })
	if len(domains) == 0 {
		return ""
	}
	return domainByHash(domains, key)
}

// domainByHash chooses a failure domain by the key.
func domainByHash(domains []string, key uint64) string {
	return slices.MaxFunc(domains, func(a, b string) int {
		return cmp.Compare(mix(hashString(a)^key), mix(hashString(b)^key))
	})
}
