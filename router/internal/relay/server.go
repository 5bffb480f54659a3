package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"masticplank.example/coordination/keyedlog"
	"masticplank.example/router/internal/rpcstream"
)

// Server answers the instances that read from this one, its followers.
type Server struct {
	now    func() time.Time
	caches map[string]*Cache
	// appendRecords appends records received from followers.
	appendRecords func(topic string, records []keyedlog.Record) error
	// fleetSize returns the number of instances.
	fleetSize func() int
	// LoadExchange handles load reports; nil to reject them.
	LoadExchange *LoadExchange
	// MembersIn returns the known instances of failure domains; nil for none.
	MembersIn func(domains []string) []Member
	// lastRequest is the time of the last request, in Unix nanoseconds; 0 for none.
	lastRequest atomic.Int64

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]bool
}

// NewServer returns a server of the caches, by topic. It passes followers' records to appendRecords
// and reports fleetSize to them.
func NewServer(now func() time.Time, caches map[string]*Cache, appendRecords func(topic string, records []keyedlog.Record) error, fleetSize func() int) *Server {
	return &Server{now: now, caches: caches, appendRecords: appendRecords, fleetSize: fleetSize, conns: map[*jsonrpc2.Conn]bool{}}
}

// collectorWindow is how long an instance counts as a collector after the last request that it
// received.
const collectorWindow = 5 * time.Second

// IsCollector reports whether others read from this instance.
func (s *Server) IsCollector() bool {
	at := s.lastRequest.Load()
	return at != 0 && s.now().Sub(time.Unix(0, at)) < collectorWindow
}

// Serve accepts connections from a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeAll()
	})
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		s.add(ctx, c)
	}
}

const (
	// maxMessageBytes bounds a message: a snapshot of 10,000 servers has 3 MB before it is packed. messageTimeout bounds
	// how long it is read or written.
	maxMessageBytes = 16 << 20
	messageTimeout  = 5 * time.Second
)

// newStream returns the stream of messages on a connection. account is where their memory is reserved; nil for no bound.
func newStream(c net.Conn, account rpcstream.Account) *rpcstream.Stream {
	return rpcstream.New(c, rpcstream.Limits{MaxBytes: maxMessageBytes, MessageTimeout: messageTimeout, Account: account})
}

func (s *Server) add(ctx context.Context, c net.Conn) {
	account, _ := c.(rpcstream.Account) // nil for a listener without a bound
	handler := rpcstream.NewHandler(s.handle, account)
	ctx, cancel := context.WithCancel(ctx)
	conn := jsonrpc2.NewConn(ctx, newStream(c, account), handler, jsonrpc2.SetLogger(discardLogger{}))
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	go func() {
		handler.AwaitEnd(conn)
		cancel()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// discardLogger drops the library's own log lines: a call that fails returns its error.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *Server) handle(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	start := s.now()
	s.lastRequest.Store(start.UnixNano())
	out, err := s.dispatch(ctx, req)
	if err != nil {
		return nil, toRPCError(err)
	}
	out.Fleet = s.fleetSize()
	out.TookUS = s.now().Sub(start).Microseconds()
	return out, nil
}

// maxWait bounds how long a request waits for a record.
const maxWait = 10 * time.Second

func (s *Server) dispatch(ctx context.Context, req *jsonrpc2.Request) (answer, error) {
	switch req.Method {
	case methodRead:
		var p readParams
		cache, err := s.decodeForTopic(req, &p, func() string { return p.Topic })
		if err != nil {
			return answer{}, err
		}
		wait := min(time.Duration(p.WaitMS)*time.Millisecond, maxWait)
		if cache.Age() > time.Duration(p.MaxAgeMS)*time.Millisecond {
			wait = 0
		}
		b, err := cache.Read(ctx, keyedlog.Position{Era: p.Era, Offset: p.From}, max(wait, 0))
		if err != nil {
			return answer{}, err
		}
		out := answer{Next: b.Next.Offset, Era: b.Next.Era, AgeUS: b.Age.Microseconds(), SteadyUS: b.Steady.Microseconds()}
		return out, out.setRecords(b.Records)
	case methodNewest:
		var p newestParams
		cache, err := s.decodeForTopic(req, &p, func() string { return p.Topic })
		if err != nil {
			return answer{}, err
		}
		return cache.newestAnswer(ctx)
	case methodLoads:
		var p loadsParams
		if err := decodeParams(req, &p); err != nil {
			return answer{}, err
		}
		if s.LoadExchange == nil {
			return answer{}, keyedlog.ErrNotApplied
		}
		return s.LoadExchange.handleReport(p)
	case methodMembers:
		var p membersParams
		if err := decodeParams(req, &p); err != nil {
			return answer{}, err
		}
		if s.MembersIn == nil {
			return answer{}, keyedlog.ErrNotApplied
		}
		return answer{Members: s.MembersIn(p.Domains)}, nil
	case methodAppend:
		var p appendParams
		if _, err := s.decodeForTopic(req, &p, func() string { return p.Topic }); err != nil {
			return answer{}, err
		}
		return answer{}, s.appendRecords(p.Topic, p.Records)
	}
	return answer{}, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
}

// decodeForTopic decodes the parameters and finds the topic's cache.
func (s *Server) decodeForTopic(req *jsonrpc2.Request, into any, topic func() string) (*Cache, error) {
	if err := decodeParams(req, into); err != nil {
		return nil, err
	}
	cache := s.caches[topic()]
	if cache == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "unknown topic"}
	}
	return cache, nil
}

// decodeParams decodes a request's parameters.
func decodeParams(req *jsonrpc2.Request, into any) error {
	if req.Params == nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, into); err != nil {
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return nil
}

// toRPCError converts an error to a JSON-RPC error; an unknown one becomes codeNotApplied.
func toRPCError(err error) error {
	var rpcErr *jsonrpc2.Error
	switch {
	case errors.As(err, &rpcErr):
		return rpcErr
	case errors.Is(err, keyedlog.ErrTrimmed):
		return &jsonrpc2.Error{Code: codeTrimmed, Message: err.Error()}
	}
	return &jsonrpc2.Error{Code: codeNotApplied, Message: err.Error()}
}
