package e2e

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	"masticplank.example/router/internal/standin/relay"
	"masticplank.example/router/internal/wire"
)

var domains = []string{"salle-rimouski", "salle-matane", "salle-riviere"}

// fleet is a complete system: a log, a list, a rating service, three engines, a
// shop service and some instances, each a separate process.
//
// log, billLogAddr, list, shop and engines are addresses of stand-ins, as
// "host:port".
type fleet struct {
	t   testing.TB
	log string
	// billLogAddr is the address of the log that holds the bills.
	billLogAddr string
	list        string
	shop        string
	engines     []string
	instances   []*instance
	// platform holds the platform settings that all instances share.
	platform map[string]any
	// logRelays are the instances' connections to the log, in the order of
	// instances; a test can interrupt each.
	logRelays []*relay.Relay
}

// options of a fleet.
type options struct {
	// shopArgs are added to the shop service's command line.
	shopArgs []string
	// billLog starts a separate log for bills.
	billLog bool
}

func startFleet(t testing.TB, instances int, o options) *fleet {
	t.Helper()
	f := &fleet{
		t:    t,
		log:  startStandin(t, "log"),
		list: startStandin(t, "instances"),
		shop: startStandin(t, "service", append([]string{"--name", "shop"}, o.shopArgs...)...),
	}
	f.billLogAddr = f.log
	billURL := ""
	if o.billLog {
		f.billLogAddr = startStandin(t, "log")
		billURL = "http://" + f.billLogAddr
	}
	rating := startStandin(t, "rating")
	list := wire.InstanceList{Servers: []wire.ListedServer{
		{ID: "shop-1", Addr: f.shop, Domain: domains[0], Service: "shop", Slots: 8},
	}}
	for n := range 3 {
		addr := startStandin(t, "engine")
		f.engines = append(f.engines, addr)
		list.Servers = append(list.Servers, wire.ListedServer{
			ID:       fmt.Sprintf("engine-%d", n+1),
			Addr:     addr,
			Domain:   domains[n],
			Versions: []string{"small@1", "large@1"},
			Slots:    8,
		})
	}
	f.put("http://"+f.list+"/instances", list)
	f.platform = map[string]any{
		"bill_log_url": billURL,
		"list_url":     "http://" + f.list,
		"rating_url":   "http://" + rating,
	}
	for range instances {
		f.addInstance()
	}
	return f
}

// addInstance starts one more instance and adds it to the platform's list.
func (f *fleet) addInstance() *instance {
	f.t.Helper()
	n := len(f.instances)
	logRelay, err := relay.New(f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(logRelay.Close)
	f.logRelays = append(f.logRelays, logRelay)
	platform := maps.Clone(f.platform)
	platform["log_url"] = "http://" + logRelay.Addr()
	name, domain := fmt.Sprintf("entry-%d", n+1), domains[n%len(domains)]
	i := startInstance(f.t, name, domain, platform)
	f.instances = append(f.instances, i)
	f.put("http://"+f.list+"/instances/"+name, wire.ListedInstance{ID: name, Peer: i.peer, Domain: domain})
	return i
}

// put sends a PUT with a JSON body to a stand-in.
func (f *fleet) put(url string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	if r := call(f.t, http.MethodPut, url, "", string(data), nil); r.err != nil || r.status >= http.StatusMultipleChoices {
		f.t.Fatalf("PUT %s: %+v", url, r)
	}
}

// setFaults replaces the faults of the stand-in at addr.
func (f *fleet) setFaults(addr string, set map[string]any) { f.put("http://"+addr+"/faults", set) }

// status reads an instance's /status.
func (f *fleet) status(i *instance) (s struct {
	Generation uint64 `json:"generation"`
	Mode       string `json:"mode"`
	Held       int    `json:"held_bills"`
}) {
	f.t.Helper()
	r := call(f.t, http.MethodGet, i.admin+"/status", "", "", nil)
	_ = json.Unmarshal([]byte(r.body), &s)
	return s
}

// awaitMode waits until instance i is in the given freshness mode.
func (f *fleet) awaitMode(i *instance, mode string) {
	f.t.Helper()
	eventually(f.t, i.name+" is "+mode, func() bool { return f.status(i).Mode == mode })
}

// runs returns how often the shop ran the reservation with the given
// idempotency key.
func (f *fleet) runs(key string) int {
	f.t.Helper()
	r := call(f.t, http.MethodGet, "http://"+f.shop+"/stats", "", "", nil)
	var got struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.Unmarshal([]byte(r.body), &got); err != nil {
		f.t.Fatal(err)
	}
	return got.Runs[key]
}

// billsOf returns the number of bills in the ledger of the request with the
// given idempotency key.
func (f *fleet) billsOf(request string) int {
	f.t.Helper()
	return strings.Count(f.ledger(), request)
}

// ledger returns the output of "masticplank ledger export".
func (f *fleet) ledger() string {
	f.t.Helper()
	out, err := runTool("ledger", "export", "--log", "http://"+f.billLogAddr)
	if err != nil {
		f.t.Fatalf("ledger export: %v: %s", err, out)
	}
	return out
}
