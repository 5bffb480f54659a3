package wire

import (
	"strconv"
	"strings"
)

// HeaderLoad carries a backend server's load in its responses, as
// "RUNNING/QUEUED". It is optional. With it, the load is known after every
// response, and GET /load is polled less often.
const HeaderLoad = "Masticplank-Load"

// FormatLoad writes the value of HeaderLoad.
func FormatLoad(running, queued int) string {
	return strconv.Itoa(running) + "/" + strconv.Itoa(queued)
}

// ParseLoad reads the value of HeaderLoad; ok is false for any other form.
func ParseLoad(text string) (running, queued int, ok bool) {
	first, second, found := strings.Cut(text, "/")
	running, err1 := strconv.Atoi(first)
	queued, err2 := strconv.Atoi(second)
	ok = found && err1 == nil && err2 == nil && running >= 0 && queued >= 0
	return running, queued, ok
}
