package retrybudget

// Service identifies a service, the same at all instances.
type Service uint32

// Row is what some instances have of the retry budget of one service. Rows of different instances add up.
type Row struct {
	Service Service
	// Allowed and Used are the retries that the window allows by these instances' own requests, and those that were
	// made in it.
	Allowed, Used float64
	// Missed is how many retries a second failed requests lately lacked.
	Missed float64
}
