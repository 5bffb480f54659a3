package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The case "model": one client names a model, and its request is answered 421.
const (
	modelLength = 60 * time.Second
	// modelAt is when that request is sent.
	modelAt = 5 * time.Second
	// wrongModel is none of the route's.
	wrongModel = "daka510001"
)

const mixedConfig = `{"version":7,"routes":[
 {"name":"r-1","hostname":"ficu95.example","pathPrefix":"/lohu930/","routeType":"streaming","timeoutMs":25000,"targetLatencyMs":3000,"priority":1,
  "sizes":["m-small","m-middle","m-large"],"service":"huvo11a","maxAttempts":3,"public":false,"sessionAffinity":true,"resumable":true,"targetGapMs":800},
 {"name":"r-2","hostname":"ficu95.example","pathPrefix":"/puxa403/","routeType":"non_idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,
  "service":"wuno96b","maxAttempts":3,"public":false}],
 "services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"runtime":{"slots":64,"kvCapacity":607625,"stride":5}},
  {"name":"wuno96b","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]},{"name":"kazi742","apiKeys":["anfqasnmgkcuyj8pjbvk"]}]}`

// The kinds of requests of mixedConfig.
var (
	summary = kind{name: "summary", path: "/lohu930/2f", method: http.MethodPost, key: "n2ctnfzs989anu6wsjnb", deadline: 25 * time.Second, body: "order 2f",
		headers: map[string]string{"Model-Id": "*", "Token-Usage": "800,50", "Prefix-Hash": "5c1e07a2:200,91bd3f06:600"}}
	stock = kind{name: "stock", path: "/puxa403/2f", method: http.MethodPost, key: "n2ctnfzs989anu6wsjnb", deadline: 2500 * time.Millisecond, body: "wool 2f"}
)

// startMixed starts runners of both services, writes the configuration and starts the instances, one in each zone.
func (c *setting) startMixed(plain []*plainRunner, instances int) ([]*node, error) {
	for i, zone := range zones {
		s := &streamRunner{id: fmt.Sprintf("i-m%d", i+1), count: 5, interval: 40 * time.Millisecond, note: c.note}
		address, err := c.serve(s)
		if err != nil {
			return nil, err
		}
		c.list(s.id, "huvo11a", zone, address, 64)
	}
	for i, p := range plain {
		address, err := c.serve(p)
		if err != nil {
			return nil, err
		}
		c.list(p.id, "wuno96b", zones[i%len(zones)], address, p.slots)
	}
	c.store.Put("keyed.op", "config", []byte(mixedConfig))
	return c.startNodes(instances)
}

// startNodes starts instances, one in each zone, and waits until they are ready.
func (c *setting) startNodes(count int) ([]*node, error) {
	var nodes []*node
	for i := range count {
		n, err := c.newNode(fmt.Sprintf("edge-%s-1", zones[i]), zones[i])
		if err != nil {
			return nil, err
		}
		if err := c.launch(n); err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := c.awaitReady(n); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

func playModel(c *setting) (int, error) {
	var plain []*plainRunner
	for i := range zones {
		plain = append(plain, c.newPlainRunner(fmt.Sprintf("i-p%d", i+1), 6, 4, 30*time.Millisecond))
	}
	nodes, err := c.startMixed(plain, 1)
	if err != nil {
		return 0, err
	}
	defer c.keepLog(nodes[0])
	load, all := c.newClients(), &results{}
	var senders sync.WaitGroup
	senders.Go(func() { load.send(nodes, stock, stock.name, 10, modelLength, all) })
	senders.Go(func() {
		load.send(nodes, summary, summary.name, 5, modelAt, all)
		odd := summary
		if c.trouble {
			odd.headers = map[string]string{"Model-Id": wrongModel, "Token-Usage": "800,50", "Prefix-Hash": "5c1e07a2:200,91bd3f06:601"}
		}
		c.note("one client sends Model-Id %q and is answered %d", odd.headers["Model-Id"], load.ask(nodes[0], odd))
		before := all.of[summary.name].served
		load.send(nodes, summary, summary.name, 5, modelLength-modelAt, all)
		c.note("streams served before that: %d, after that: %d", before, all.of[summary.name].served-before)
	})
	senders.Wait()
	return c.judgeStarved(all)
}

// judgeStarved counts the kinds of requests that are served less than a quarter as often as all requests.
func (c *setting) judgeStarved(all *results) (broken int, err error) {
	const quarter = 0.25
	total := all.total()
	for name, o := range all.of {
		c.note("%s: %d of %d were served (%.3f), of all requests %.3f; statuses %v", name, o.served, o.asked, all.share(name), total, o.byStatus)
		if all.share(name) < quarter*total {
			broken++
		}
	}
	if total == 0 {
		return 0, errors.New("no request was served")
	}
	return broken, nil
}
