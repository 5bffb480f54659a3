package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"masticplank.example/router/internal/wire"
)

// RatingClient is a client of the rating service over HTTP. It implements Rater and
// is safe for concurrent use. Apart from dialTimeout, only the caller's context
// bounds a call.
type RatingClient struct {
	base   string
	client *http.Client
}

var _ Rater = (*RatingClient)(nil)

// NewRatingClient returns a client of the rating service at base, an http URL.
func NewRatingClient(base string) *RatingClient {
	return &RatingClient{base: strings.TrimRight(base, "/"), client: newClient()}
}

// Rate implements Rater. A score outside 0 to 1 is an error and not clamped: a
// service that violates its own range says nothing about the answer.
func (c *RatingClient) Rate(ctx context.Context, r wire.RateRequest) (float64, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, err := readAll(resp.Body, maxShortBodyBytes)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, statusError(resp.StatusCode, answer)
	}
	return decodeScore(answer)
}

func decodeScore(body []byte) (float64, error) {
	var answer struct {
		Score *float64 `json:"score"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, fmt.Errorf("platform: malformed rating: %w", err)
	}
	if answer.Score == nil {
		return 0, fmt.Errorf("platform: rating without a score")
	}
	if *answer.Score < 0 || *answer.Score > 1 {
		return 0, fmt.Errorf("platform: score %v outside 0 to 1", *answer.Score)
	}
	return *answer.Score, nil
}
