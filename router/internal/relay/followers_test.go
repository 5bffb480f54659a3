package relay

import (
	"fmt"
	"strings"
	"testing"
)

// Reports under ever new names do not fill the memory of a collector.
func TestFollowersAreBounded(t *testing.T) {
	l := &LoadExchange{followerReports: map[string]timedReport{}}
	for n := range 2 * maxFollowers {
		l.store(fmt.Sprint("edge-", n), timedReport{})
	}
	if len(l.followerReports) > maxFollowers {
		t.Errorf("%d reports are kept, want at most %d", len(l.followerReports), maxFollowers)
	}
	if !l.store("edge-0", timedReport{}) {
		t.Error("the report of a known instance was rejected")
	}
	if l.store(strings.Repeat("x", maxNameBytes+1), timedReport{}) {
		t.Error("a report under a long name was kept")
	}
}
