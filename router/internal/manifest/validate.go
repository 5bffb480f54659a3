package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path"
	"regexp"
	"strings"

	"github.com/gravitational/trace"
)

// Limits of a manifest's content. Those on counts bound the memory that one
// publication can take at each instance; they do not follow from the needs of a
// deployment. maxWeight bounds a team's weight, maxPlaced the engines of one
// placement.
const (
	maxTeams    = 10_000
	maxVersions = 1_000
	maxServices = 1_000
	maxRoutes   = 1_000
	maxWeight   = 1_000_000
	maxPlaced   = 100_000
)

var (
	idPattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}@[A-Za-z0-9][A-Za-z0-9._-]{0,31}$`)
	hashPattern    = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Fault is one error in a manifest.
type Fault struct {
	// Path locates the fault, such as "teams[2].allowed[0]".
	Path string `json:"path"`
	Text string `json:"text"`
}

// Faults are all faults of a manifest. They implement error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Path + ": " + fault.Text
	}
	return strings.Join(lines, "\n")
}

// Parse decodes a manifest from JSON. It rejects unknown keys, so that a misspelt
// key cannot silently change who may use what.
func Parse(data []byte) (Manifest, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var m Manifest
	if err := dec.Decode(&m); err != nil {
		return Manifest{}, trace.BadParameter("manifest: %v", err)
	}
	if dec.More() {
		return Manifest{}, trace.BadParameter("manifest: more than one JSON value")
	}
	return m, nil
}

// Encode returns the encoding that is written to the log and that digests are
// computed from.
func Encode(m Manifest) ([]byte, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return data, nil
}

// checker collects faults.
type checker struct{ faults Faults }

func (c *checker) add(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

// id checks the ID of an entry; seen holds the IDs of the entries before it.
func (c *checker) id(path, id string, seen map[string]bool) {
	if !idPattern.MatchString(id) {
		c.add(path, "%q is not an id: letters, digits, '.', '_', '-', at most 64", id)
	}
	if seen[id] {
		c.add(path, "%q stands twice", id)
	}
	seen[id] = true
}

func (c *checker) inRange(path string, v, low, high float64) {
	if !(v >= low && v <= high) {
		c.add(path, "%v is not between %v and %v", v, low, high)
	}
}

func (c *checker) maxCount(path string, n, most int) {
	if n > most {
		c.add(path, "%d entries, at most %d are allowed", n, most)
	}
}

// Validate checks a manifest's content and returns every fault. It depends on
// nothing but m, so that all readers of the log have the same result.
func Validate(m Manifest) Faults {
	c := &checker{}
	if m.Publication == "" {
		c.add("publication", "is empty: give each pipeline run an id, so that publishing again is idempotent")
	}
	versions := c.versions(m.Versions)
	services := c.services(m.Services)
	teams := c.teams(m.Teams, versions, services)
	c.orders(m.Orders, m.Versions)
	c.objectives(m.Objectives, teams)
	return c.faults
}

func (c *checker) versions(versions []Version) map[string]bool {
	c.maxCount("versions", len(versions), maxVersions)
	seen := map[string]bool{}
	for i, v := range versions {
		c.version(fmt.Sprintf("versions[%d]", i), v, seen)
	}
	for i, v := range versions {
		if v.Predecessor != "" && !seen[v.Predecessor] {
			c.add(fmt.Sprintf("versions[%d].predecessor", i), "no version %q", v.Predecessor)
		}
	}
	return seen
}

func (c *checker) version(at string, v Version, seen map[string]bool) {
	if !versionPattern.MatchString(v.ID) {
		c.add(at+".id", "%q is not of the form model@version", v.ID)
	}
	if seen[v.ID] {
		c.add(at+".id", "%q stands twice", v.ID)
	}
	seen[v.ID] = true
	if model, _, _ := strings.Cut(v.ID, "@"); model != v.Model {
		c.add(at+".model", "%q is not the model of %q", v.Model, v.ID)
	}
	switch v.State {
	case StateServing, StateDraining, StateWithdrawn:
	default:
		c.add(at+".state", "%q is not one of serving, draining, withdrawn", v.State)
	}
	c.inRange(at+".share", v.Share, 0, 1)
	c.inRange(at+".cost", v.Cost, 0, 1e9)
	c.inRange(at+".quality", v.Quality, 0, 1)
}

func (c *checker) services(services []Service) map[string]bool {
	c.maxCount("services", len(services), maxServices)
	seen := map[string]bool{}
	for i, s := range services {
		at := fmt.Sprintf("services[%d]", i)
		c.id(at+".id", s.ID, seen)
		c.inRange(at+".price", s.Price, 0, 1e9)
		c.maxCount(at+".routes", len(s.Routes), maxRoutes)
		for j, r := range s.Routes {
			c.route(fmt.Sprintf("%s.routes[%d]", at, j), r)
		}
	}
	return seen
}

func (c *checker) route(at string, r Route) {
	if r.Method == "" {
		c.add(at+".method", "is empty")
	}
	if _, err := path.Match(r.Path, "/"); err != nil || !strings.HasPrefix(r.Path, "/") {
		c.add(at+".path", "%q is not a path pattern", r.Path)
	}
}

func (c *checker) teams(teams []Team, versions, services map[string]bool) map[string]bool {
	c.maxCount("teams", len(teams), maxTeams)
	seen := map[string]bool{}
	keys := map[string]string{}
	for i, t := range teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.id(at+".id", t.ID, seen)
		c.inRange(at+".weight", float64(t.Weight), 1, maxWeight)
		c.inRange(at+".quality_target", t.QualityTarget, 0, 1)
		c.inRange(at+".queue_limit", float64(t.QueueLimit), 0, 1e6)
		c.known(at+".allowed", "version", t.Allowed, versions)
		c.known(at+".services", "service", t.Services, services)
		c.keys(at, t, keys)
	}
	return seen
}

// known checks that a list of IDs names only entries that are known.
func (c *checker) known(at, kind string, ids []string, known map[string]bool) {
	for i, id := range ids {
		if !known[id] {
			c.add(fmt.Sprintf("%s[%d]", at, i), "no %s %q", kind, id)
		}
	}
}

// keys checks the API key hashes of a team; owner holds the teams of the hashes
// before them.
func (c *checker) keys(at string, t Team, owner map[string]string) {
	for i, h := range t.KeyHashes {
		where := fmt.Sprintf("%s.key_hashes[%d]", at, i)
		if !hashPattern.MatchString(h) {
			c.add(where, "is not a SHA-256 sum in lower-case hex")
		}
		if other, taken := owner[h]; taken {
			c.add(where, "is also a key of team %q", other)
		}
		owner[h] = t.ID
	}
}

func (c *checker) orders(o *Orders, versions []Version) {
	if o == nil {
		return
	}
	states := map[string]string{}
	for _, v := range versions {
		states[v.ID] = v.State
	}
	seen := map[string]bool{}
	for i, p := range o.Placements {
		at := fmt.Sprintf("orders.placements[%d]", i)
		switch {
		case states[p.Version] == "":
			c.add(at+".version", "no version %q", p.Version)
		case states[p.Version] == StateWithdrawn:
			c.add(at+".version", "%q is withdrawn and cannot be placed", p.Version)
		case seen[p.Version]:
			c.add(at+".version", "%q stands twice", p.Version)
		}
		seen[p.Version] = true
		c.inRange(at+".servers", float64(p.Servers), 1, maxPlaced)
	}
}

func (c *checker) objectives(objectives []Objective, teams map[string]bool) {
	for i, o := range objectives {
		at := fmt.Sprintf("objectives[%d]", i)
		if !teams[o.Team] {
			c.add(at+".team", "no team %q", o.Team)
		}
		c.inRange(at+".availability", o.Availability, 0, 0.999999)
		c.inRange(at+".bad_exposure", o.BadExposure, 0, 1)
		c.inRange(at+".first_token_ms", float64(o.FirstTokenMS), 0, 1e7)
		c.inRange(at+".inter_token_ms", float64(o.InterTokenMS), 0, 1e7)
		c.inRange(at+".cost_per_request", o.CostPerRequest, 0, 1e9)
	}
}
