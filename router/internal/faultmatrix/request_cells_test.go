package faultmatrix

// requestCells is the matrix of the request path. It has no cells for expired
// leases: leases are for orders to backend servers, and requests use none.
//
// A resent chat completes again: it is idempotent, and is billed once only. A
// resent reservation completes only if the first one was not run and its claim is
// not in the log or was released; otherwise it gets already_run, even if the first
// one's instance died between the claim and the run.
var requestCells = []requestCell{
	{"admit", "none", "completed>completed", "completed>completed", "completed>already_run"},
	{"admit", "kill", "gone>completed", "gone>completed", "gone>completed"},
	{"admit", "cut from log", "completed>completed", "completed>completed", "refused>completed"},
	{"admit", "cut from all", "refused>completed", "refused>completed", "refused>completed"},
	{"admit", "freeze", "refused>completed", "refused>completed", "refused>completed"},
	{"admit", "log down", "completed>completed", "completed>completed", "refused>completed"},
	{"admit", "log goes down", "completed>completed", "completed>completed", "refused>completed"},
	{"admit", "slow", "completed>completed", "completed>completed", "completed>already_run"},
	{"admit", "lost reply", "completed>completed", "completed>completed", "completed>already_run"},
	{"admit", "operator race", "completed>completed", "completed>completed", "completed>already_run"},
	{"admit", "leaving", "completed>completed", "completed>completed", "completed>already_run"},
	{"admit", "server dies", "completed>completed", "completed>completed", "completed>already_run"},
	{"admit", "crossed resend", "completed>completed", "completed>completed", "already_run>already_run"},

	{"claim", "kill", "", "", "gone>completed"},
	{"claim", "cut from log", "", "", "refused>completed"},
	{"claim", "cut from all", "", "", "refused>completed"},
	{"claim", "freeze", "", "", "refused>completed"},
	{"claim", "log goes down", "", "", "refused>completed"},
	{"claim", "slow", "", "", "completed>already_run"},
	{"claim", "lost reply", "", "", "completed>already_run"},
	{"claim", "lost append", "", "", "completed>already_run"},
	{"claim", "operator race", "", "", "completed>already_run"},
	{"claim", "leaving", "", "", "completed>already_run"},
	{"claim", "crossed resend", "", "", "already_run>already_run"},

	// The first record that the request appends to the log (a reservation's
	// claim, a chat's bill) is written and not yet read back.
	{"read back", "kill", "gone>completed", "cut>completed", "gone>already_run"},
	// Disconnected from the log, the instance reads its own record from a peer's
	// state. Disconnected from all, it cannot know whether the bill counts: it does
	// not complete the answer, and the resend is covered by the first bill. After a
	// freeze it writes the bill again.
	{"read back", "cut from log", "completed>completed", "completed>completed", "completed>already_run"},
	{"read back", "cut from all", "unknown>completed", "cut>completed", "refused>completed"},
	{"read back", "freeze", "completed>completed", "completed>completed", "refused>completed"},
	{"read back", "log goes down", "completed>completed", "completed>completed", "completed>already_run"},
	{"read back", faultUnread, "completed>completed", "completed>completed", "refused>completed"},
	{"read back", "operator race", "completed>completed", "completed>completed", "completed>already_run"},
	{"read back", "crossed resend", "completed>completed", "completed>completed", "completed>already_run"},

	// The claim is won, the reservation not yet sent: if the reservation is then
	// refused, its claim must be released for the resend.
	{"claimed", "kill", "", "", "gone>already_run"},
	{"claimed", "cut from log", "", "", "completed>already_run"},
	{"claimed", "cut from all", "", "", "refused>completed"},
	{"claimed", "freeze", "", "", "completed>already_run"},
	{"claimed", "log goes down", "", "", "completed>already_run"},
	{"claimed", "log down", "", "", "refused>completed"},
	{"claimed", "operator race", "", "", "completed>already_run"},
	{"claimed", "leaving", "", "", "completed>already_run"},
	{"claimed", "all leave", "", "", "refused>completed"},
	{"claimed", "server dies", "", "", "completed>already_run"},
	{"claimed", "crossed resend", "", "", "completed>already_run"},

	// Package decision has dispatched the request to a backend server; the check of the
	// gate and the manifest is still to come, and for a reservation the claim and
	// one more check.
	{"dispatch", "kill", "gone>completed", "gone>completed", "gone>completed"},
	{"dispatch", "cut from log", "completed>completed", "completed>completed", "refused>completed"},
	{"dispatch", "cut from all", "refused>completed", "refused>completed", "refused>completed"},
	{"dispatch", "freeze", "completed>completed", "completed>completed", "completed>already_run"},
	{"dispatch", "log down", "completed>completed", "completed>completed", "refused>completed"},
	{"dispatch", "operator race", "completed>completed", "completed>completed", "completed>already_run"},
	{"dispatch", "leaving", "completed>completed", "completed>completed", "completed>already_run"},
	{"dispatch", "server dies", "completed>completed", "completed>completed", "completed>already_run"},
	{"dispatch", "slow server", "completed>completed", "completed>completed", "completed>already_run"},
	{"dispatch", "crossed", "completed>completed", "completed>completed", "unknown>already_run"},
	{"dispatch", "crossed resend", "completed>completed", "completed>completed", "already_run>already_run"},

	// The backend server is in the middle of its answer.
	{"stream", "kill", "gone>completed", "cut>completed", "gone>already_run"},
	{"stream", "cut from log", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "cut from all", "unknown>completed", "cut>completed", "unknown>already_run"},
	{"stream", "freeze", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "log down", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "slow", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "lost reply", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "operator race", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "leaving", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "server dies", "completed>completed", "cut>completed", "unknown>already_run"},
	{"stream", "slow server", "completed>completed", "completed>completed", "completed>already_run"},
	{"stream", "truncated", "completed>completed", "cut>completed", "unknown>already_run"},
	{"stream", faultCallerLeaves, "gone>completed", "cut>completed", "gone>already_run"},
	{"stream", "unended", "completed>completed", "cut>completed", ""},
	{"stream", "duplicated", "completed>completed", "completed>completed", ""},
	{"stream", "late tail", "completed>completed", "completed>completed", ""},
	{"stream", "crossed resend", "completed>completed", "completed>completed", "completed>already_run"},

	// The answer is complete, its bill not written yet.
	{"bill", "kill", "gone>completed", "cut>completed", "gone>already_run"},
	{"bill", "cut from log", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "cut from all", "unknown>completed", "cut>completed", "unknown>already_run"},
	{"bill", "freeze", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "log down", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "log goes down", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "slow", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "lost reply", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "lost append", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "operator race", "completed>completed", "completed>completed", "completed>already_run"},
	{"bill", "crossed resend", "completed>completed", "completed>completed", "completed>already_run"},

	// The bill is durable, the end of the answer is not sent yet.
	{"final frame", "kill", "gone>completed", "cut>completed", "gone>already_run"},
	{"final frame", "cut from log", "completed>completed", "completed>completed", "completed>already_run"},
	{"final frame", "cut from all", "completed>completed", "completed>completed", "completed>already_run"},
	{"final frame", "freeze", "completed>completed", "completed>completed", "completed>already_run"},
	{"final frame", "log down", "completed>completed", "completed>completed", "completed>already_run"},
	{"final frame", "operator race", "completed>completed", "completed>completed", "completed>already_run"},

	// A planned stop begins while the backend server answers.
	{"drain", "none", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "kill", "gone>completed", "cut>completed", "gone>already_run"},
	{"drain", "cut from log", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "cut from all", "unknown>completed", "cut>completed", "unknown>already_run"},
	{"drain", "freeze", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "log down", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "slow", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "lost reply", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "operator race", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "leaving", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "server dies", "completed>completed", "cut>completed", "unknown>already_run"},
	{"drain", "slow server", "completed>completed", "completed>completed", "completed>already_run"},
	{"drain", "truncated", "completed>completed", "cut>completed", "unknown>already_run"},
}
