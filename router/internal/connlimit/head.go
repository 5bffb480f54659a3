package connlimit

import "net/http"

// Memory of a head besides its bytes, which are kept as strings: an entry of the map of fields, its slice and its key, in the
// request and in its copy that goes to a backend server.
const (
	fieldBytes = 256
	// textFactor is how often the bytes themselves are held.
	textFactor = 2
)

// headCounter counts the bytes and lines of a head as they arrive. Empty lines before it count as a part of it.
type headCounter struct {
	bytes, lines int
	// lineBytes is the length of the present line without its end, text is true once a line was not empty.
	lineBytes int
	text      bool
	// complete is true after the empty line that ends the head.
	complete bool
}

// add counts what was read. What follows the end of the head is not counted, unless more is read of the same head.
func (h *headCounter) add(p []byte) {
	h.complete = false
	for i, b := range p {
		switch b {
		case '\n':
			h.lines++
			if h.lineBytes == 0 && h.text {
				h.complete = true
				h.bytes += i + 1
				return
			}
			h.lineBytes = 0
		case '\r':
		default:
			h.lineBytes++
			h.text = true
		}
	}
	h.bytes += len(p)
}

// memory returns what the head takes once it is parsed.
func (h *headCounter) memory() int64 { return headMemory(h.bytes, h.lines) }

func headMemory(bytes, fields int) int64 { return int64(textFactor*bytes + fieldBytes*fields) }

// requestMemory returns what the head of a request takes.
func requestMemory(r *http.Request) int64 {
	bytes, fields := len(r.RequestURI)+len(r.Host), 0
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return headMemory(bytes, fields)
}
