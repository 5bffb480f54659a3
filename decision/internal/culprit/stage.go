package culprit

import "time"

// A request is a suspect in two stages, each with parts, answers and outcomes of its own: from when it was sent to the
// first event of its response, and for SurvivalTime from that event. A part that crashes servers before they write an
// event is always there in the first stage, one that crashes them after some events in the second one, and what acquits
// a part in one stage says nothing about the other.
type stage uint8

const (
	waiting stage = iota
	begun
	stages
)

// SurvivalTime is how long after the first event of a response its server must go on for the response to acquit the
// parts of its prompt in the second stage.
const SurvivalTime = 400 * time.Millisecond

// begunBit marks the parts of the second stage.
const begunBit Part = 1 << 63

// PartOf returns the part with a hash.
func PartOf(hash uint64) Part { return hash &^ begunBit }

// Begun returns the parts as they count in the second stage. The times of Suspect.Sent and Answer.Sent are then those of
// the first event.
func Begun(parts []Part) []Part {
	out := make([]Part, len(parts))
	for i, p := range parts {
		out[i] = p | begunBit
	}
	return out
}

// stageOf returns the stage in which a part counts.
func stageOf(p Part) stage {
	if p&begunBit != 0 {
		return begun
	}
	return waiting
}

// stageOfParts is stageOf for the parts of one request; waiting if there are none.
func stageOfParts(parts []Part) stage {
	if len(parts) == 0 {
		return waiting
	}
	return stageOf(parts[0])
}
