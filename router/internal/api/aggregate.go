package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"masticplank.example/decision"
	"masticplank.example/router/internal/upstream"
	"masticplank.example/router/internal/wire"
)

// Engines are asked for a stream even if the caller wants a single JSON body, which
// is then assembled here. Load: callers that disconnect, and engines that die, in
// the middle of long answers. Harm prevented: the tokens generated until then would
// be neither known nor billed. If an engine sends a single body nevertheless, that
// body is accepted.

// readCompletion reads the answer to a chat whose caller did not ask for a stream.
func (x *exchange) readCompletion(ctx context.Context, d decision.Dispatch, resp *http.Response) (*answer, error) {
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return x.readCompletionBody(ctx, d, resp)
	}
	sr := x.newStreamReader(d)
	sr.aggregate = true
	if err := sr.readAndCount(ctx, resp); err != nil {
		return nil, err
	}
	body, err := sr.completion()
	if err != nil {
		return nil, &upstream.Failure{Result: decision.AttemptFailed, Err: err}
	}
	sr.out.text, sr.out.events = sr.text.String(), nil
	sr.out.header = http.Header{"Content-Type": {"application/json"}}
	sr.out.body = body
	return sr.out, nil
}

// aggregateChunk keeps what the assembled answer needs of a chunk besides its text.
// Identifier, model and the like are decoded from the first chunk only; decoding
// them from each would cost more than all other work on a chunk.
func (sr *streamReader) aggregateChunk(c streamChunk, data string) error {
	if sr.text.Len() > upstream.MaxAnswerBytes {
		return &upstream.Failure{Result: decision.AttemptFailed, Err: errAnswerTooLarge}
	}
	if sr.firstChunk == nil {
		sr.firstChunk = &wire.ChatResponse{}
		if err := json.Unmarshal([]byte(data), sr.firstChunk); err != nil {
			return &upstream.Failure{Result: decision.AttemptFailed, Err: errMalformedChunk}
		}
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			sr.finishReason = choice.FinishReason
		}
	}
	return nil
}

var (
	errNoFinish       = errors.New("the stream ended without a finish reason")
	errAnswerTooLarge = errors.New("the answer is larger than the limit")
)

// completion returns the content of the stream as the JSON of one chat completion.
// It fails if the stream had no finish reason.
func (sr *streamReader) completion() ([]byte, error) {
	if sr.firstChunk == nil || sr.finishReason == nil {
		return nil, errNoFinish
	}
	out := *sr.firstChunk
	out.Object = "chat.completion"
	out.Usage = sr.usage
	out.Choices = []wire.ChatChoice{{
		Message:      &wire.Message{Role: "assistant", Content: sr.text.String()},
		FinishReason: sr.finishReason,
	}}
	return json.Marshal(out)
}
