// Package procstat reads what a process of this machine uses, from /proc. The
// benches read the instances that they started with it.
package procstat

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted after the name in parentheses.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// ResidentMB is the resident memory of a process.
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

// ProcessorTime is the user and system time that a process has used.
func CPUTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystem {
		return 0, trace.BadParameter("the state of process %d has %d fields", pid, len(fields))
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
