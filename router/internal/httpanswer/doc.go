// Package httpanswer checks answers to HTTP requests that this process sends: whether their heads are well-formed, and
// whether an answer is whole, where only the end of its connection ends it. What it refuses is broken and may have run. All clients of backend servers, peers and the store use it.
package httpanswer
