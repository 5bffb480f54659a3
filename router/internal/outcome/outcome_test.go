package outcome

import (
	"os"
	"strings"
	"testing"
)

// TestAPIPageListsEveryCode checks that the API page for callers names each code of
// statusByCode, so that callers do not meet undocumented codes.
func TestAPIPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	for code := range statusByCode {
		if !strings.Contains(string(page), "`"+code+"`") {
			t.Errorf("docs/API.md lacks the code %s, want each code of statusByCode", code)
		}
	}
}

// TestStatusByKind checks the status of the kinds, and that a code in statusByCode
// takes precedence over its kind.
func TestStatusByKind(t *testing.T) {
	for o, want := range map[Outcome]int{
		{Kind: Completed}:                                  200,
		{Kind: Refused, Code: "no_backend_server"}:         503,
		{Kind: Refused, Code: "queue_full"}:                429,
		{Kind: Failed, Code: "backend_server_failed"}:      502,
		{Kind: Failed, Code: "rejected_by_backend_server"}: 400,
		{Kind: Unknown, Code: "outcome_unknown"}:           504,
		{Kind: AlreadyRun, Code: "already_run"}:            409,
	} {
		if got := o.Status(); got != want {
			t.Errorf("%+v: status %d, want %d", o, got, want)
		}
	}
}
