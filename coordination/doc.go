// Package coordination is the root of an embeddable library that coordinates
// processes which share nothing but an append-only log service.
//
// There is no leader and no quorum, and the library stores no state of its own.
// The log gives one total order; every process folds the same records with the
// same deterministic rules and so computes the same state:
//
//   - record: the appended records and their size-bounded codec.
//   - platformlog: the interface to the log service, and an in-memory fake.
//   - fold: first-writer-wins registers, release, expiry, checkpoints.
//   - node: the driver that tails the log, folds it, and appends in groups.
//   - freshness: whether a process may trust the state it has folded so far.
//   - lease: leases and fencing numbers based on registers.
//   - ledger: bills of requests, each counted once.
//   - gossip: the choice of peers to compare digests with.
//   - keyedlog: the interface to a log that keeps the newest record of each key.
package coordination
