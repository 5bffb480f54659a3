package history

import (
	"github.com/anishathalye/porcupine"

	"masticplank.example/coordination/node"
	"masticplank.example/coordination/record"
)

// This file has the sequential models that histories are checked against.

// registerOp is one operation on a register: a Put or a Release.
type registerOp struct {
	key     record.Key
	nonce   record.Nonce
	release bool
}

// registerState is a register with at most one winner. released holds the
// released nonces, concatenated in a string so that states are comparable.
type registerState struct {
	winner   record.Nonce
	released string
}

func (s registerState) isReleased(n record.Nonce) bool {
	for i := 0; i+len(n) <= len(s.released); i += len(n) {
		if s.released[i:i+len(n)] == string(n[:]) {
			return true
		}
	}
	return false
}

// registerModel defines the legal sequential behaviour of registers. Each key
// is checked separately.
var registerModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[record.Key][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerOp).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in := state.(registerState), input.(registerOp)
		if in.release {
			if s.winner == in.nonce {
				s.winner = record.Nonce{}
			}
			s.released += string(in.nonce[:])
			return []any{s}
		}
		res := output.(node.Result)
		free := s.winner == record.Nonce{} && !s.isReleased(in.nonce)
		won := registerState{in.nonce, s.released}
		switch res.Outcome {
		case node.OutcomeWon:
			if free {
				return []any{won}
			}
			return nil
		case node.OutcomeLost:
			if s.winner == res.Register.Nonce && s.winner != in.nonce {
				return []any{s}
			}
			return nil
		case node.OutcomeUnknown:
			if free {
				return []any{s, won}
			}
			return []any{s}
		default:
			return []any{s}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// publishOp is one attempt to publish a manifest with the content value as the
// child of the manifest with the given generation and digest.
type publishOp struct {
	parentGeneration uint64
	parentDigest     string
	value            string
}

// manifestState is the manifest in force.
type manifestState struct {
	generation uint64
	digest     string
}

// manifestModel defines the legal sequential behaviour of manifests: each one
// that wins is the child of the manifest in force.
var manifestModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{manifestState{}} },
	Step: func(state, input, output any) []any {
		s, in, res := state.(manifestState), input.(publishOp), output.(node.Result)
		isChild := s.generation == in.parentGeneration && s.digest == in.parentDigest
		next := manifestState{in.parentGeneration + 1, record.ManifestDigest([]byte(in.value))}
		switch res.Outcome {
		case node.OutcomeWon:
			if isChild {
				return []any{next}
			}
			return nil
		case node.OutcomeLost:
			if s.generation > in.parentGeneration {
				return []any{s}
			}
			return nil
		case node.OutcomeUnknown:
			if isChild {
				return []any{s, next}
			}
			return []any{s}
		default:
			return []any{s}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}
