// Package admission decides which requests get a service's room when there is too little of it, for the sum of all
// instances.
//
// What is known is the demand by service, priority and team, as each instance reports it; every instance derives the
// same admission level from it. All of it is pure: demand, room and the time go in, verdicts come out.
package admission
