package node

import (
	"maps"
	"slices"
	"sync"

	"masticplank.example/coordination/fold"
	"masticplank.example/coordination/record"
)

// watchers holds who hears of changes, by class. Safe for concurrent use.
type watchers struct {
	mu      sync.Mutex
	byClass map[record.Class][]*watcher
}

type watcher struct {
	f func(fold.Change)
}

func (ws *watchers) add(class record.Class, f func(fold.Change)) (stop func()) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.byClass == nil {
		ws.byClass = map[record.Class][]*watcher{}
	}
	w := &watcher{f}
	ws.byClass[class] = append(ws.byClass[class], w)
	return func() { ws.remove(class, w) }
}

func (ws *watchers) remove(class record.Class, w *watcher) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.byClass[class] = slices.DeleteFunc(slices.Clone(ws.byClass[class]), func(o *watcher) bool { return o == w })
}

func (ws *watchers) notify(c *fold.Change) {
	ws.mu.Lock()
	list := ws.byClass[c.Record.Key.Class()]
	ws.mu.Unlock()
	for _, w := range list {
		w.f(*c)
	}
}

func (ws *watchers) classes() []record.Class {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	return slices.Sorted(maps.Keys(ws.byClass))
}
