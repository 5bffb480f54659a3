package api

import (
	"context"
	"sync"
	"time"

	"masticplank.example/decision"
	"masticplank.example/router/internal/driver"
	"masticplank.example/router/internal/platform"
	"masticplank.example/router/internal/wire"
)

const (
	// maxConcurrentRatings bounds the goroutines that wait for the rating service,
	// which may be slow. Answers beyond this number are not sent to it: they are
	// reported as late.
	maxConcurrentRatings = 128
	// unheldRatingTimeout bounds a rating that no held answer waits for.
	unheldRatingTimeout = 5 * time.Second
)

// ratingPool queries the rating service in the background, so that only held
// answers wait for their rating.
type ratingPool struct {
	rater  platform.Rater
	driver *driver.Driver
	slots  chan struct{}
	wg     sync.WaitGroup
}

func newRatingPool(rater platform.Rater, d *driver.Driver) *ratingPool {
	return &ratingPool{rater: rater, driver: d, slots: make(chan struct{}, maxConcurrentRatings)}
}

// rate starts the rating of an answer if the Dispatch asks for one.
func (x *exchange) rate(d decision.Dispatch, a *answer) {
	if !d.NeedsRating {
		return
	}
	event := decision.AnswerRated{
		Request: x.req.ID,
		Attempt: d.Attempt,
		Team:    x.req.Team,
		Class:   x.req.Class,
		Version: d.Version,
	}
	timeout := unheldRatingTimeout
	if d.Hold && d.RatingTimeout > 0 {
		timeout = d.RatingTimeout
	}
	req := wire.RateRequest{
		Team:    x.caller.team.ID,
		Task:    string(x.req.Class),
		Version: string(d.Version),
		Prompt:  lastMessage(x.chat),
		Answer:  a.text,
	}
	x.s.ratings.start(event, req, timeout)
}

// lastMessage returns the content of a chat's last message, the prompt to be
// rated.
func lastMessage(chat *wire.ChatRequest) string {
	if chat == nil || len(chat.Messages) == 0 {
		return ""
	}
	return chat.Messages[len(chat.Messages)-1].Content
}

// start rates an answer in the background and sends event with the result.
func (q *ratingPool) start(event decision.AnswerRated, req wire.RateRequest, timeout time.Duration) {
	select {
	case q.slots <- struct{}{}:
	default:
		event.Late = true
		q.driver.Send(event)
		return
	}
	q.wg.Add(1)
	go func() {
		defer q.wg.Done()
		defer func() { <-q.slots }()
		q.driver.Send(q.requestRating(event, req, timeout))
	}()
}

func (q *ratingPool) requestRating(event decision.AnswerRated, req wire.RateRequest, timeout time.Duration) decision.AnswerRated {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	score, err := q.rater.Rate(ctx, req)
	event.Score = score
	event.Late = err != nil
	return event
}

// wait blocks until no rating is running or ctx is done.
func (q *ratingPool) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		q.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
