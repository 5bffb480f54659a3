package connlimit

import (
	"errors"
	"io"
)

// ErrNoRoom means that as many bytes are held as may be.
var ErrNoRoom = errors.New("as many bytes are held for callers and backend servers as may be")

// ReadAll reads to the end, into a buffer that begins with size bytes, 1 at least, and doubles. reserve is called with the
// bytes that each buffer needs more, and reports whether there is room. Without room ReadAll returns what it has read, with
// ErrNoRoom.
func ReadAll(from io.Reader, size int64, reserve func(int64) bool) ([]byte, error) {
	if !reserve(size) {
		return nil, ErrNoRoom
	}
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			if !reserve(int64(cap(buf))) {
				return buf, ErrNoRoom
			}
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := from.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if errors.Is(err, io.EOF) {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}
