package passthrough

import (
	"errors"
	"testing"

	"masticplank.example/coordination/keyedlog"
)

// An instance that sends records without end does not fill the memory of its collector.
func TestRecordsHeldForFollowersAreBounded(t *testing.T) {
	s := &sharing{heldRecords: map[string][]keyedlog.Record{}, onHeldRecords: func() {}}
	large := []keyedlog.Record{{Key: "k", Value: make([]byte, maxHeldBytes/2)}}
	for range 3 {
		if err := s.holdRecords(topicObservations, large); err != nil && !errors.Is(err, keyedlog.ErrNotApplied) {
			t.Fatal(err)
		}
	}
	if held := recordBytes(s.heldRecords[topicObservations]); held > maxHeldBytes {
		t.Errorf("%d bytes are held, want at most %d", held, maxHeldBytes)
	}
	s.takeHeldRecords(topicObservations)
	if err := s.holdRecords(topicObservations, large); err != nil {
		t.Errorf("after they were taken: %v", err)
	}
}
