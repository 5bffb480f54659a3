//go:build !faultinject

package passthrough

import "net"

// newConnect returns the function that opens connections to backend servers.
func newConnect(d *net.Dialer) connectFunc { return d.DialContext }
