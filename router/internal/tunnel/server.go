package tunnel

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"masticplank.example/decision/reach"
	"masticplank.example/router/internal/connlimit"
	"masticplank.example/router/internal/grant"
)

// Server opens connections to backend servers for peers.
type Server struct {
	// Connect connects to the backend server. It returns ErrDeclined for one that gets no requests,
	// ErrUnreachable for one that this instance cannot reach while it reaches others, ErrDoubtful if it may
	// reach none, ErrNoPath if it reaches none, and ErrNoPermit if the target needs a permit and none is free.
	Connect func(ctx context.Context, to Target) (net.Conn, error)
	// Limit is how many tunnels may be open.
	Limit int
	// Busy reports whether this instance has no processor time to spare, so that it opens no new tunnels; nil for never.
	Busy func() bool
	// PathUp reports whether this instance reaches other servers than the one, after a connection to that has broken;
	// nil for always.
	PathUp func(server string) bool
	// Tell returns what a peer of the failure domain that asks for a path is told; nil for nothing.
	Tell func(domain string) reach.Answer

	// Grants answers peers that ask for grants at grant.Path; nil for none.
	Grants http.Handler

	open     atomic.Int64
	draining atomic.Bool
}

// Open returns the number of open tunnels.
func (s *Server) Open() int { return int(s.open.Load()) }

// Drain refuses new tunnels; open ones go on.
func (s *Server) Drain() { s.draining.Store(true) }

// peerLimits bound the heads of peers.
var peerLimits = connlimit.Limits{HeadBytes: maxHeadBytes, HeadTimeout: time.Second, IdleTimeout: 15 * time.Second}

// HTTPServer returns the HTTP server that serves tunnels, on a Listener.
func (s *Server) HTTPServer() *http.Server { return connlimit.HTTPServer(s, nil) }

// ServeHTTP implements http.Handler.
//
// Load: peers that are cut off from all servers, up to all those of a failure domain, each with its callers'
// whole traffic. Harm prevented: an instance that runs out of descriptors or processor time and cannot serve its own
// callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathsPath && r.Method == http.MethodGet && s.Tell != nil && !s.draining.Load() {
		w.Header().Set("Connection", "close")
		_ = json.NewEncoder(w).Encode(packAnswer(s.Tell(r.URL.Query().Get(paramDomain)))) // the peer asks again
		return
	}
	if r.URL.Path == grant.Path && s.Grants != nil {
		s.serveGrant(w, r)
		return
	}
	defer s.open.Add(-1)
	open := s.open.Add(1)
	w.Header().Set(headerOpen, strconv.FormatInt(open-1, 10))
	w.Header().Set("Connection", "close")
	if r.URL.Path != path || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.draining.Load() || open > int64(s.Limit) || s.Busy != nil && s.Busy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	to := targetOf(r.URL.Query())
	c, err := s.Connect(r.Context(), to)
	if err != nil {
		w.WriteHeader(statusOf(err))
		return
	}
	defer func() { _ = c.Close() }()
	server := &serverConn{Conn: c}
	s.forward(w, r, server, to.ID)
}

// serveGrant answers a peer that asks for a grant. A stopping instance gives none: the next holder in rank does.
func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Grants.ServeHTTP(w, r)
}

// statusOf returns the status of a response to a request for a tunnel that could not be opened.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrDeclined):
		return http.StatusNotFound
	case errors.Is(err, ErrUnreachable):
		return http.StatusBadGateway
	case errors.Is(err, ErrNoPermit):
		return http.StatusTooManyRequests
	case errors.Is(err, ErrNoPath):
		return http.StatusGatewayTimeout
	case errors.Is(err, ErrDoubtful):
		return http.StatusFailedDependency
	}
	return http.StatusServiceUnavailable
}

// forward copies both directions until the backend server or the peer ends the tunnel.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, server *serverConn, id string) {
	control := http.NewResponseController(w)
	if control.EnableFullDuplex() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// The first read of the body sends 100 Continue. A peer that has another tunnel by now sends none.
	body := bufio.NewReader(r.Body)
	if _, err := body.Peek(1); err != nil {
		return
	}
	if c := connlimit.FromContext(r.Context()); c != nil {
		c.Running()
	}
	w.Header().Set("Trailer", trailerEnd+", "+trailerForwarded)
	w.WriteHeader(http.StatusOK)
	if control.Flush() != nil {
		return
	}
	stop := context.AfterFunc(r.Context(), func() { _ = server.Close() })
	defer stop()
	go sendBody(server, body)
	end := endClosed
	if err := copyFlushed(w, control, server); err != nil {
		end = endReset
		// A tunnel of this instance's own, or its own path, may have been lost, and not the server.
		if errors.Is(err, ErrPeerLost) || r.Context().Err() == nil && s.PathUp != nil && !s.PathUp(id) {
			return
		}
	}
	w.Header().Set(trailerEnd, end)
	w.Header().Set(trailerForwarded, strconv.FormatInt(server.end(), 10))
}

// sendBody copies the request to the backend server, whose connection it closes if the peer is gone.
func sendBody(server net.Conn, body io.Reader) {
	from := &errorRecorder{Reader: body}
	// A server that takes no more of the request may still be sending its response.
	if _, err := io.Copy(server, from); err != nil && from.err != nil {
		_ = server.Close()
	}
}

// errorRecorder is a reader that keeps the error of the latest read, if it is not the end.
type errorRecorder struct {
	io.Reader
	err error
}

// Read implements io.Reader.
func (r *errorRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// copyFlushed copies what the backend server sends as it arrives. It returns nil at the orderly end.
func copyFlushed(w io.Writer, control *http.ResponseController, server io.Reader) error {
	const bufferSize = 8 << 10
	buf := make([]byte, bufferSize)
	for {
		n, err := server.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if werr := control.Flush(); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
