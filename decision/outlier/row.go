package outlier

import "time"

// Server identifies a process of a backend server, the same at all instances. A process that starts anew under the
// server's id is another Server.
type Server uint32

// Row is what some instances have lately seen of one server. The zero values of Failed and Total say nothing.
type Row struct {
	Server Server
	// Failed and Total count the failed and all attempts; earlier attempts weigh less.
	Failed, Total float64
	// Age is the time since the last failed attempt.
	Age time.Duration
}
