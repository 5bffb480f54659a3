package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

// chunkObject is the field "object" of a chunk.
const chunkObject = "chat.completion.chunk"

// stream writes server-sent events.
type stream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
}

// send writes and flushes one event; id is its number in the stream. It reports
// whether the caller is still connected.
func (s stream) send(id int, data []byte) bool {
	if _, err := fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", id, data); err != nil {
		return false
	}
	return s.flush.Flush() == nil
}

// sendStream sends one chunk per token, a last chunk with the usage, and the
// end marker. It reports whether the request counts as completed.
func (s *Server) sendStream(ctx context.Context, w http.ResponseWriter, j *job) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(wire.HeaderAttempt, j.nonce)
	w.WriteHeader(http.StatusOK)
	out := stream{w: w, flush: http.NewResponseController(w)}

	halfway := j.firstChunk + (j.answer.length-j.firstChunk)/2
	endedEarly := false
	complete := s.generate(ctx, j, func(i int, token string) bool {
		if i == halfway {
			if s.Faults.Take(func(f *Faults) *faults.Count { return &f.Truncate }) {
				faults.AbortConnection()
			}
			if s.Faults.Take(func(f *Faults) *faults.Count { return &f.EndEarly }) {
				endedEarly = true
				return false
			}
		}
		return s.sendToken(out, j, i, token)
	})
	if endedEarly {
		return true
	}
	if !complete {
		return false
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.LostReply }) {
		faults.AbortConnection()
	}
	return s.sendEnd(out, j)
}

func (s *Server) sendToken(out stream, j *job, i int, token string) bool {
	delta := &wire.Message{Content: token}
	if i == 0 {
		delta.Role = "assistant"
	}
	data := s.chunk(j, wire.ChatChoice{Delta: delta}, nil)
	if !out.send(i, data) {
		return false
	}
	// The first chunk is never duplicated: a reader may hold it back until it has
	// the second one.
	duplicate := i > 0 && s.Faults.Take(func(f *Faults) *faults.Count { return &f.DuplicateChunk })
	return !duplicate || out.send(i, data)
}

// sendEnd sends the last chunk and the end marker.
func (s *Server) sendEnd(out stream, j *job) bool {
	reason := j.answer.finishReason()
	choice := wire.ChatChoice{Delta: &wire.Message{}, FinishReason: &reason}
	last := s.chunk(j, choice, &j.usage)
	if !out.send(j.answer.length, last) {
		return false
	}
	return out.send(j.answer.length+1, []byte(wire.StreamEnd))
}

func (s *Server) chunk(j *job, choice wire.ChatChoice, usage *wire.Usage) []byte {
	body := s.envelope(j, chunkObject, choice)
	body.Usage = usage
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // Broken invariant: these types always encode.
	}
	return data
}
