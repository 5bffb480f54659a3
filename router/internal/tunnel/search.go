package tunnel

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"masticplank.example/decision/reach"
)

// pathsPath is the path of the requests that ask an instance for peers with a path; paramDomain is the failure domain of
// the instance that asks.
const (
	pathsPath   = "/paths"
	paramDomain = "domain"
)

const (
	// askTimeout bounds a question for a path. A peer that takes longer is taken for one that gives no answer.
	askTimeout = 150 * time.Millisecond
	// maxAnswerBytes bounds an answer, which names sixteen peers at most.
	maxAnswerBytes = 16 << 10
)

// searcher asks peers for a path: one search for all requests that want one.
type searcher struct {
	peers     *Peers
	transport http.RoundTripper
	findPeers func()
	// onExhausted is called when a search has found no peer with a path, with the number of peers that are known.
	onExhausted func(known int)

	mu       sync.Mutex
	running  bool
	progress chan struct{}
}

// want keeps the search going, and returns a channel that is closed once more is known.
func (s *searcher) want() <-chan struct{} {
	s.peers.mu.Lock()
	s.peers.paths.Want(s.peers.now())
	s.peers.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress == nil {
		s.progress = make(chan struct{})
	}
	if !s.running {
		s.running = true
		go s.run()
	}
	return s.progress
}

// advance wakes the requests that wait.
func (s *searcher) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress != nil {
		close(s.progress)
		s.progress = nil
	}
}

// run asks peers, round by round, until nobody wants a path any more.
func (s *searcher) run() {
	reported := false
	for {
		round := s.next()
		if round.ended {
			s.mu.Lock()
			s.running = false
			s.mu.Unlock()
			return
		}
		if round.isShort {
			s.findPeers()
		}
		s.ask(round.ask)
		if exhausted := s.isExhausted(); exhausted != reported {
			if reported = exhausted; exhausted {
				s.onExhausted(len(s.peers.Names()))
			}
		}
		s.advance()
		time.Sleep(time.Until(round.again))
	}
}

// round is a round of a search.
type round struct {
	ask     []reach.Peer
	again   time.Time
	isShort bool
	ended   bool
}

func (s *searcher) next() round {
	p := s.peers
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if !p.paths.IsWanted(now) {
		return round{ended: true}
	}
	ask, again := p.paths.NextRound(now, p.isUsable)
	return round{ask: ask, again: time.Now().Add(again.Sub(now)), isShort: p.paths.IsShort(now)}
}

func (s *searcher) isExhausted() bool {
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	return s.peers.paths.Exhausted(s.peers.now(), s.peers.isUsable)
}

// ask asks the peers and applies their answers as they arrive.
func (s *searcher) ask(list []reach.Peer) {
	var asks sync.WaitGroup
	for _, to := range list {
		asks.Go(func() {
			answer, err := s.askOne(to)
			if err != nil {
				s.peers.silent(to.Name)
				return
			}
			s.peers.learn(to.Name, answer)
			s.advance()
		})
	}
	asks.Wait()
}

// askOne asks one peer. A peer that does not know the question tells nothing.
func (s *searcher) askOne(to reach.Peer) (reach.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	query := url.Values{paramDomain: {s.peers.self.Domain}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.Address+pathsPath+"?"+query.Encode(), nil)
	if err != nil {
		return reach.Answer{}, err
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return reach.Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reach.Answer{}, nil
	}
	var answer answerMessage
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer); err != nil {
		return reach.Answer{}, fmt.Errorf("the answer of %s for a path: %w", to.Name, err)
	}
	return answer.unpack(), nil
}

// learn applies the answer of a peer.
func (p *Peers) learn(name string, a reach.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paths.Answered(p.now(), name, a)
	p.sync()
}

// silent records that a peer gave no answer.
func (p *Peers) silent(name string) {
	p.mu.Lock()
	x := p.peers[name]
	p.mu.Unlock()
	if x != nil {
		p.failed(x)
	}
}

// answerMessage is an answer for a path as it is sent. Times are sent as ages, since the clocks of the instances differ.
type answerMessage struct {
	Standing reach.Standing `json:"standing"`
	Paths    []offerMessage `json:"paths,omitempty"`
	Others   []reach.Peer   `json:"others,omitempty"`
}

type offerMessage struct {
	reach.Peer
	AgeMS int64 `json:"age_ms"`
}

func packAnswer(a reach.Answer) answerMessage {
	out := answerMessage{Standing: a.Standing, Others: a.Others}
	for _, offer := range a.Paths {
		out.Paths = append(out.Paths, offerMessage{offer.Peer, offer.Age.Milliseconds()})
	}
	return out
}

func (m answerMessage) unpack() reach.Answer {
	out := reach.Answer{Standing: m.Standing, Others: m.Others}
	for _, offer := range m.Paths {
		out.Paths = append(out.Paths, reach.PathOffer{Peer: offer.Peer, Age: time.Duration(max(offer.AgeMS, 0)) * time.Millisecond})
	}
	return out
}
