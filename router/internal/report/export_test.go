package report

// Fixtures for the tests of package page, which are in package report_test.
var (
	DegradedFleet = degradedFleet
	Begin         = begin
)
