//go:build faultinject

package passthrough

import (
	"net"
	"os"

	"masticplank.example/router/internal/faultdial"
)

// newConnect returns the function that opens connections to backend servers, with the faults that the file
// named by faultdial.FileVariable states.
func newConnect(d *net.Dialer) connectFunc {
	path := os.Getenv(faultdial.FileVariable)
	if path == "" {
		return d.DialContext
	}
	link := faultdial.NewLink()
	go link.Follow(path)
	return connectFunc(link.Dial(d.DialContext))
}
