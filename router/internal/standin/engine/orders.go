package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"masticplank.example/router/internal/standin/faults"
	"masticplank.example/router/internal/wire"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 1 << 20

// orders holds the last order, which lists the versions that the engine has
// loaded. It is safe for concurrent use.
type orders struct {
	available    []Version
	checkFencing bool

	mu      sync.Mutex
	state   wire.Order
	fencing uint64
}

// OrderState is the answer to GET /orders.
type OrderState struct {
	wire.Order
	// Fencing is the highest fencing number of an accepted order.
	Fencing uint64 `json:"fencing"`
}

func newOrders(available []Version, checkFencing bool) *orders {
	o := &orders{available: available, checkFencing: checkFencing}
	for _, v := range available {
		o.state.Versions = append(o.state.Versions, v.ID)
	}
	return o
}

// loaded returns the version with the given ID if it is loaded.
func (o *orders) loaded(id string) (Version, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Contains(o.state.Versions, id) {
		return Version{}, false
	}
	return o.find(id)
}

// find returns the version with the given ID, whether it is loaded or not.
func (o *orders) find(id string) (Version, bool) {
	for _, v := range o.available {
		if v.ID == id {
			return v, true
		}
	}
	return Version{}, false
}

// versions returns the IDs of the loaded versions.
func (o *orders) versions() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.state.Versions)
}

// apply replaces the order. If it refuses the new one, it returns an error
// code and a message.
func (o *orders) apply(order wire.Order, fencing uint64) (code, message string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checkFencing && fencing < o.fencing {
		return "stale_fencing", fmt.Sprintf("fencing number %d is below %d", fencing, o.fencing)
	}
	for _, id := range order.Versions {
		if _, ok := o.find(id); !ok {
			return "unknown_version", fmt.Sprintf("version %s cannot be loaded here", id)
		}
	}
	o.fencing = max(o.fencing, fencing)
	o.state = order
	return "", ""
}

// putOrder replaces the list of loaded versions. An order without a fencing
// number has number 0.
func (s *Server) putOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	var fencing uint64
	if text := r.Header.Get(wire.HeaderFencing); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			faults.WriteError(w, http.StatusBadRequest, "malformed_request", err.Error())
			return
		}
		fencing = number
	}
	if code, message := s.orders.apply(order, fencing); code != "" {
		faults.WriteError(w, http.StatusConflict, code, message)
		return
	}
	s.getOrder(w, r)
}

func (s *Server) getOrder(w http.ResponseWriter, _ *http.Request) {
	s.orders.mu.Lock()
	state := OrderState{Order: s.orders.state, Fencing: s.orders.fencing}
	s.orders.mu.Unlock()
	faults.WriteJSON(w, http.StatusOK, state)
}
