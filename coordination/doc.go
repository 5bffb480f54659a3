// Package coordination is the root of an embeddable library of coordination
// parts for processes that share nothing but an append-only log service.
//
// There is no leader, no quorum and no stored state of the library's own. The
// log gives one total order; every process folds the same records with the same
// deterministic rule and so computes the same state:
//
//   - record: what is appended, and its bounded codec.
//   - platformlog: the interface to the log service, and an in-memory fake.
//   - fold: first-writer-wins registers, release, expiry, checkpoints.
//   - node: the driver that tails the log, folds it, and appends in groups.
//   - freshness: when a process may trust what it has folded so far.
//   - lease: leases and fencing numbers taken from registers.
//   - gossip: which peers to compare digests with.
package coordination
