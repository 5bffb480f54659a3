package passthrough

import (
	"cmp"
	"slices"
)

// What a server takes from all instances together can be kept without a message if few instances
// send to it, each a fixed part. They are chosen by rendezvous hashing among the instances of one
// failure domain, so that all agree on them as far as they know the same instances.

// neighbours are the instances of this one's failure domain, itself among them.
type neighbours struct {
	// names are hashes of their names, own that of this instance's.
	hashes []uint64
	own    uint64
	// version changes with the names; 0 as long as none are known.
	version int
}

func (w *World) setNeighbours(e Neighbours) {
	n := neighbours{own: hashString(e.Self), version: w.neighbours.version + 1}
	for _, name := range e.Names {
		n.hashes = append(n.hashes, hashString(name))
	}
	w.neighbours = n
}

// rank is this instance's place among its neighbours for a key, 0 first.
func (n *neighbours) position(key uint64) int {
	own, before := mix(n.own^key), 0
	for _, name := range n.hashes {
		if mix(name^key) > own {
			before++
		}
	}
	return before
}

// inSubset says whether this instance is one of so many that may send to a server of the failure
// domain, chosen by the key. An instance that does not know its neighbours is in no subset: it may
// be one of hundreds.
func (w *World) inSubset(domain string, key uint64, size int) bool {
	return w.neighbours.version > 0 && w.subsetDomain(domain, key) == w.cfg.Domain && w.neighbours.position(key) < size
}

// subsetDomain is the failure domain of the instances that may send to a server: its own, or one by
// the key where no instances run there.
func (w *World) subsetDomain(domain string, key uint64) string {
	if len(w.cfg.Domains) == 0 || slices.Contains(w.cfg.Domains, domain) {
		return domain
	}
	return slices.MaxFunc(w.cfg.Domains, func(a, b string) int {
		return cmp.Compare(mix(hashString(a)^key), mix(hashString(b)^key))
	})
}
