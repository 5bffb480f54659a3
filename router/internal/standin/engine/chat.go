package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

// maxChatBytes bounds the body of a chat request.
const maxChatBytes = 16 << 20

// foreignNonce is the nonce echoed under the faults WrongNonce and Crossed.
const foreignNonce = "00000000-0000-7000-8000-000000000000"

// job is one chat request that the engine has accepted.
type job struct {
	request wire.ChatRequest
	version Version
	answer  answer
	faults  Faults
	usage   wire.Usage
	// blocks holds the hashes of the prompt's blocks. The first cachedBlocks of
	// them were in the prefix cache.
	blocks       []uint64
	cachedBlocks int
	// nonce is echoed in the response.
	nonce string
	// firstChunk is the index of the first chunk to send, above 0 for a resumed
	// stream.
	firstChunk int
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	j, ok := s.accept(w, r)
	if !ok {
		return
	}
	ctx, cancel := s.bindToRun(r.Context())
	defer cancel()
	switch err := s.slots.acquire(ctx, j.request.Priority); {
	case errors.Is(err, errBusy):
		s.refuse(w, r, http.StatusTooManyRequests, "busy", err.Error())
		return
	case err != nil:
		abortIfCrashed(ctx)
		return
	}
	defer s.slots.release()
	s.updateStats(func(st *Stats) {
		st.Started++
		st.ByVersion[j.version.ID]++
	})
	s.run(ctx, w, j)
}

// accept decodes and checks a request. It answers refusals itself; each carries
// wire.HeaderNotRun.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*job, bool) {
	active := s.Faults.Get()
	j := &job{faults: active, nonce: r.Header.Get(wire.HeaderAttempt)}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBytes)).Decode(&j.request); err != nil {
		s.refuse(w, r, http.StatusBadRequest, "malformed_request", err.Error())
		return nil, false
	}
	if active.Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
		s.refuse(w, r, http.StatusServiceUnavailable, "leaving", "this engine is leaving")
		return nil, false
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.Busy }) {
		s.refuse(w, r, http.StatusTooManyRequests, "busy", "no slot")
		return nil, false
	}
	version, ok := s.orders.loaded(j.request.Model)
	if !ok {
		s.refuse(w, r, http.StatusNotFound, "unknown_version", fmt.Sprintf("version %q is not loaded", j.request.Model))
		return nil, false
	}
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		last, err := strconv.Atoi(id)
		if err != nil || last < 0 {
			s.refuse(w, r, http.StatusBadRequest, "malformed_request", "Last-Event-ID is not a number")
			return nil, false
		}
		j.firstChunk = last + 1
	}
	j.version = version
	s.prepare(j)
	return j, true
}

// prepare computes the answer and the size of the prompt, and applies the faults
// that change the answer or the nonce.
func (s *Server) prepare(j *job) {
	quality := j.version.Quality
	if bad, ok := j.faults.Quality[j.version.ID]; ok {
		quality = bad
	}
	messages := j.request.Messages
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.Crossed }) {
		messages = []wire.Message{{Role: "user", Content: "another request"}}
		j.nonce = foreignNonce
	}
	if s.Faults.Take(func(f *Faults) *faults.Count { return &f.WrongNonce }) {
		j.nonce = foreignNonce
	}
	j.answer = newAnswer(j.version.ID, messages, j.request.MaxTokens, quality)
	j.blocks = wire.PromptBlocks(j.request.Messages)
	j.usage.PromptTokens = wire.PromptTokens(j.request.Messages)
}

// run generates and sends the answer while holding a slot.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, j *job) {
	if j.faults.CrashOnMark && hasCrashMark(j.request.Messages) {
		s.Crash()
		faults.AbortConnection()
	}
	if !s.prefill(ctx, j) {
		s.endInterrupted(ctx)
		return
	}
	if s.drawFault(j.faults.ErrorRate[j.version.ID]) {
		s.updateStats(func(st *Stats) { st.Failed++ })
		w.Header().Set(wire.HeaderAttempt, j.nonce)
		faults.WriteError(w, http.StatusInternalServerError, "engine_error", "generation failed")
		return
	}
	running, queued := s.slots.load()
	w.Header().Set(wire.HeaderLoad, wire.FormatLoad(running, queued))
	sent := false
	if j.request.Stream {
		sent = s.sendStream(ctx, w, j)
	} else {
		sent = s.sendPlain(ctx, w, j)
	}
	if !sent {
		s.endInterrupted(ctx)
		return
	}
	s.updateStats(func(st *Stats) { st.Completed++ })
}

// prefill adds the prompt to the prefix cache and waits for the time to the first
// token, which cached blocks shorten. It reports whether ctx is still active.
func (s *Server) prefill(ctx context.Context, j *job) bool {
	dropEvent := func() bool {
		return s.Faults.Take(func(f *Faults) *faults.Count { return &f.CacheGaps })
	}
	j.cachedBlocks = s.cache.lookupAndAdd(j.blocks, dropEvent)
	j.usage.CachedTokens = j.cachedBlocks * wire.BlockTokens()
	wait := j.faults.scaled(j.timeToFirstToken()) + j.faults.firstTokenDelay()
	return sleep(ctx, wait)
}

// endInterrupted ends a request that was not answered in full: after a crash it
// aborts the connection; otherwise the caller has disconnected and the request
// counts as cancelled.
func (s *Server) endInterrupted(ctx context.Context) {
	abortIfCrashed(ctx)
	s.updateStats(func(st *Stats) { st.Cancelled++ })
}

// refuse answers a request that was not run. It echoes the request's own nonce
// even under WrongNonce: a refusal with another attempt's nonce would not prove
// that this attempt was not run.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, code, message string) {
	s.updateStats(func(st *Stats) { st.Refused++ })
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	w.Header().Set(wire.HeaderNotRun, "true")
	faults.WriteError(w, status, code, message)
}

func abortIfCrashed(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errCrashed) {
		faults.AbortConnection()
	}
}

func hasCrashMark(messages []wire.Message) bool {
	for _, m := range messages {
		if strings.Contains(m.Content, CrashMark) {
			return true
		}
	}
	return false
}
