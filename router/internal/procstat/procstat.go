// Package procstat reads the memory and processor time of a process from /proc, for
// benchmarks that start instances as processes.
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTick is the unit of processor time in /proc (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/PID/stat after the name in parentheses, from 0.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// ResidentMB returns the resident memory of a process in MiB.
func ResidentMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range strings.Lines(string(data)) {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024, nil
		}
	}
	return 0, trace.NotFound("no VmRSS of process %d", pid)
}

// CPUTime returns the user and system time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystem {
		return 0, trace.BadParameter("/proc/%d/stat has %d fields after the name", pid, len(fields))
	}
	ticks := 0
	for _, i := range []int{fieldUser, fieldSystem} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, trace.BadParameter("processor time of process %d: %v", pid, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
