package wire

import "time"

// CodeNotAppended is the error code with which the log service states that an
// append had no effect. After any other failed response it is unknown whether
// the append took effect.
const CodeNotAppended = "not_appended"

// LogAppended is the response to POST /append at the log service. The request's
// body is the entry's data itself.
type LogAppended struct {
	// Offset is the offset of the new entry.
	Offset uint64 `json:"offset"`
}

// LogEntry is one entry in a LogPage.
type LogEntry struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	// Data is base64 in JSON.
	Data []byte `json:"data"`
}

// LogPage is the response to GET /read?from=&limit=&wait_ms= at the log
// service. With status 410 the requested offset has been trimmed, and Entries
// is empty.
type LogPage struct {
	Entries []LogEntry `json:"entries"`
	// Head is the offset that the next append will get.
	Head uint64 `json:"head"`
	// First is the oldest offset that is still kept.
	First uint64 `json:"first"`
}
