package report

// What the tests of the page, which stand outside this package, need of its own.
var (
	DegradedFleet = degradedFleet
	Begin         = begin
)
