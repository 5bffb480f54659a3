// Package httpanswer checks answers to HTTP requests that this process sends: whether an answer is whole, where only the end
// of its connection ends it. All clients of backend servers, peers and the store use it.
package httpanswer
