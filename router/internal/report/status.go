package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// StatusReport is the body of /status: where one instance stands.
type StatusReport struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	// Generation of the manifest in force here.
	Generation uint64 `json:"generation"`
	// Mode is "fresh", "stale" or "outage".
	Mode string `json:"mode"`
	// Open requests.
	OpenRequests int `json:"open"`
	// Offset is the next entry of the log to fold, Head the log's end as last
	// read, Lag the entries between.
	Offset uint64 `json:"offset"`
	Head   uint64 `json:"head"`
	Lag    uint64 `json:"lag"`
	// LogReachable says whether the last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// HeldBills wait here for the log, own and other instances'.
	HeldBills int `json:"held_bills"`
	// ShutOff are versions judged bad, Ejected backend servers taken out as
	// outliers.
	BadVersions    []string `json:"shut_off_versions"`
	EjectedServers []string `json:"ejected_servers"`
}

// StatusLine is one instance's answer, or that there was none.
type InstanceStatus struct {
	Address string        `json:"address"`
	Status  *StatusReport `json:"status,omitempty"`
	Error   string        `json:"error,omitempty"`
}

// WriteStatusText writes the lines for a terminal, and what is odd between
// instances.
func WriteStatusText(w io.Writer, lines []InstanceStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tADDRESS\tDOMAIN\tGENERATION\tMODE\tOPEN\tOFFSET\tLAG\tLOG\tHELD BILLS\tSHUT OFF\tEJECTED")
	for _, l := range lines {
		if l.Status == nil {
			fmt.Fprintf(t, "NO ANSWER\t%s\t%s\n", l.Address, l.Error)
			continue
		}
		s := l.Status
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%d\t%s\t%s\n",
			s.Instance, l.Address, s.Domain, s.Generation, s.Mode, s.OpenRequests, s.Offset, s.Lag,
			reachability(s.LogReachable), s.HeldBills, joinOrDash(s.BadVersions), joinOrDash(s.EjectedServers))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, note := range statusWarnings(lines) {
		if _, err := fmt.Fprintln(w, note); err != nil {
			return err
		}
	}
	return nil
}

// statusNotes says what to look at.
func statusWarnings(lines []InstanceStatus) []string {
	var out []string
	var newest uint64
	for _, l := range lines {
		if l.Status != nil {
			newest = max(newest, l.Status.Generation)
		}
	}
	for _, l := range lines {
		if l.Status == nil {
			continue
		}
		s := l.Status
		if s.Generation < newest {
			out = append(out, fmt.Sprintf("%s is at generation %d, others at %d", s.Instance, s.Generation, newest))
		}
		if s.HeldBills > 0 {
			out = append(out, fmt.Sprintf("%s holds %d bills for the log: do not stop it and its peers at once", s.Instance, s.HeldBills))
		}
	}
	return out
}

func reachability(ok bool) string {
	if ok {
		return "reachable"
	}
	return "UNREACHABLE"
}

func joinOrDash(names []string) string {
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ",")
}
