package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// StatusReport is the body of /status: the state of one instance.
type StatusReport struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	// Generation of the manifest in force; 0 for none.
	Generation uint64 `json:"generation"`
	// Mode is "fresh", "stale" or "outage".
	Mode string `json:"mode"`
	// OpenRequests is the number of requests in progress.
	OpenRequests int `json:"open"`
	// Offset is that of the next entry of the log to fold, Head the end of the log
	// when it was last read, Lag the number of entries between them.
	Offset uint64 `json:"offset"`
	Head   uint64 `json:"head"`
	Lag    uint64 `json:"lag"`
	// LogReachable is true if the last read of the log succeeded.
	LogReachable bool `json:"log_reachable"`
	// HeldBills is the number of bills, own and other instances', that are held
	// until they can be appended to the log.
	HeldBills int `json:"held_bills"`
	// BadVersions are the versions judged bad, EjectedServers the backend servers
	// ejected as outliers.
	BadVersions    []string `json:"shut_off_versions"`
	EjectedServers []string `json:"ejected_servers"`
}

// InstanceStatus is one instance's status, or the error of requesting it.
type InstanceStatus struct {
	Address string        `json:"address"`
	Status  *StatusReport `json:"status,omitempty"`
	Error   string        `json:"error,omitempty"`
}

// WriteStatusText writes the statuses as a table for a terminal, followed by
// warnings.
func WriteStatusText(w io.Writer, statuses []InstanceStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tADDRESS\tDOMAIN\tGENERATION\tMODE\tOPEN\tOFFSET\tLAG\tLOG\tHELD BILLS\tSHUT OFF\tEJECTED")
	for _, instance := range statuses {
		if instance.Status == nil {
			fmt.Fprintf(t, "NO ANSWER\t%s\t%s\n", instance.Address, instance.Error)
			continue
		}
		s := instance.Status
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\t%d\t%s\t%s\n",
			s.Instance, instance.Address, s.Domain, s.Generation, s.Mode, s.OpenRequests, s.Offset, s.Lag,
			reachability(s.LogReachable), s.HeldBills, joinOrDash(s.BadVersions), joinOrDash(s.EjectedServers))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, warning := range statusWarnings(statuses) {
		if _, err := fmt.Fprintln(w, warning); err != nil {
			return err
		}
	}
	return nil
}

// statusWarnings names the instances that are behind the newest generation and those
// that hold bills.
func statusWarnings(statuses []InstanceStatus) []string {
	var warnings []string
	var newest uint64
	for _, instance := range statuses {
		if instance.Status != nil {
			newest = max(newest, instance.Status.Generation)
		}
	}
	for _, instance := range statuses {
		if instance.Status == nil {
			continue
		}
		s := instance.Status
		if s.Generation < newest {
			warnings = append(warnings, fmt.Sprintf("%s is at generation %d, others at %d", s.Instance, s.Generation, newest))
		}
		if s.HeldBills > 0 {
			warnings = append(warnings, fmt.Sprintf("%s holds %d bills for the log: do not stop it and its peers at once", s.Instance, s.HeldBills))
		}
	}
	return warnings
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
