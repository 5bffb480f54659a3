// Package reach plans how an instance reaches the backend servers: directly, or through peers that do.
//
// What is known is a matrix of instances and servers. Links is this instance's row: which servers it reaches
// itself. Paths is what it knows of the other rows: which peers have a path, by their own answers and by what
// others say. Both are pure: evidence and the time go in, a plan comes out.
package reach
