package connlimit

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
)

// limited is a connection of a Listener, or one that embeds it.
type limited interface{ Limited() *Conn }

// connKey is the key of a request's connection in its context.
type connKey struct{}

// FromContext returns the connection of a request; nil if it is not one of a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// maxParserBytes is net/http's own bound of a head, above any that Limits states: Conn enforces these, which may change.
const maxParserBytes = 1 << 20

// HTTPServer returns a server for a Listener. Only HTTP/1 is served. onState is called when a connection changes its state, nil
// for nothing.
func HTTPServer(h http.Handler, onState func(net.Conn, http.ConnState)) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler: handler{h}, Protocols: &protocols, MaxHeaderBytes: maxParserBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			trackState(c, state)
			if onState != nil {
				onState(c, state)
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if l, ok := c.(limited); ok {
				return context.WithValue(ctx, connKey{}, l.Limited())
			}
			return ctx
		},
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}

func trackState(c net.Conn, state http.ConnState) {
	l, ok := c.(limited)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		l.Limited().headRead()
	case http.StateIdle:
		l.Limited().requestEnded()
		// A client that sends requests without waiting for their answers always has the next one ready. Its connection would
		// use its whole time slice, and so would each of hundreds like it, while new connections and the store wait.
		runtime.Gosched()
	}
}

// handler records the requests of connections before it serves them.
type handler struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := FromContext(r.Context())
	if c == nil {
		h.Handler.ServeHTTP(w, r)
		return
	}
	hasBody := r.ContentLength != 0
	if !c.requestBegun(requestMemory(r), hasBody) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "0.200")
		http.Error(w, reasonNoRoom, http.StatusServiceUnavailable)
		return
	}
	if hasBody {
		r = r.WithContext(r.Context()) // net/http looks at the body of its own request
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	h.Handler.ServeHTTP(w, r)
}

// body records the end of a request's body, and gives a long one a larger receive buffer.
type body struct {
	io.ReadCloser
	conn *Conn
	// read is how many bytes were read.
	read int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	before := b.read
	b.read += n
	if unread := b.conn.pool.bounds.Unread; err == nil && unread > 0 && before <= unread && b.read > unread {
		b.conn.enlargeBuffer()
	}
	if errors.Is(err, io.EOF) {
		b.conn.bodyRead()
	}
	return n, err
}
