package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

// timeToFirstToken returns the version's FirstToken plus PerBlock for each block of
// the prompt that was not cached.
func (j *job) timeToFirstToken() time.Duration {
	uncached := len(j.blocks) - j.cachedBlocks
	return j.version.FirstToken + time.Duration(uncached)*j.version.PerBlock
}

// firstTokenDelay returns the fault LateMS as a duration.
func (f Faults) firstTokenDelay() time.Duration { return time.Duration(f.LateMS) * time.Millisecond }

// waitToken waits for the time between two tokens, which a full batch about
// doubles, as in an engine that is bound by memory bandwidth. It reports whether
// ctx is still active.
func (s *Server) waitToken(ctx context.Context, j *job) bool {
	interval := j.version.InterToken
	if interval == 0 {
		return ctx.Err() == nil
	}
	running, _ := s.slots.load()
	others := time.Duration(running - 1)
	interval += interval * others / time.Duration(s.cfg.Slots)
	return sleep(ctx, j.faults.scaled(interval))
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// generate calls emit with each token from the job's firstChunk on, at the time
// of the token. It returns false if ctx ended or emit failed.
func (s *Server) generate(ctx context.Context, j *job, emit func(i int, token string) bool) bool {
	generated := 0
	defer func() { s.updateStats(func(st *Stats) { st.Tokens += generated }) }()
	for i := j.firstChunk; i < j.answer.length; i++ {
		if i > j.firstChunk && !s.waitToken(ctx, j) {
			return false
		}
		generated++
		if !emit(i, j.answer.token(i)) {
			return false
		}
	}
	j.usage.CompletionTokens = j.answer.length
	j.usage.TotalTokens = j.usage.PromptTokens + j.usage.CompletionTokens
	return true
}

// sendPlain answers with one JSON object. It reports whether the request counts as
// completed.
func (s *Server) sendPlain(ctx context.Context, w http.ResponseWriter, j *job) bool {
	var text strings.Builder
	complete := s.generate(ctx, j, func(_ int, token string) bool {
		text.WriteString(token)
		return true
	})
	if !complete {
		return false
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.LostReply }) {
		faults.AbortConnection()
	}
	message := &wire.Message{Role: "assistant", Content: text.String()}
	reason := j.answer.finishReason()
	body := s.envelope(j, "chat.completion", wire.ChatChoice{Message: message, FinishReason: &reason})
	body.Usage = &j.usage
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // Broken invariant: these types always encode.
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.Header().Set(wire.HeaderAttempt, j.nonce)
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.Truncate }) {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		faults.AbortConnection()
	}
	_, err = w.Write(data)
	return err == nil
}

// envelope returns a response with the fields common to plain responses
// and chunks.
func (s *Server) envelope(j *job, object string, choice wire.ChatChoice) wire.ChatResponse {
	return wire.ChatResponse{
		ID:      "chatcmpl-" + j.nonce,
		Object:  object,
		Created: s.now().Unix(),
		Model:   j.version.ID,
		Choices: []wire.ChatChoice{choice},
	}
}
