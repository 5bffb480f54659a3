package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"

	"masticplank.example/decision"
)

// Index provides lookups in one manifest. It is immutable and therefore safe for
// concurrent use.
type Index struct {
	Manifest Manifest
	// Digest is the hex digest of the encoded manifest; the next manifest states
	// it as its parent.
	Digest string

	keys     map[string]keyOwner
	services map[string]Service
	versions map[string]Version
	models   map[string]bool
	// allowed holds, by team, the IDs of the versions that it may use and those of
	// the services as "service:ID".
	allowed map[string]map[string]bool
}

// keyOwner is the team that an API key belongs to, with the key's hash.
type keyOwner struct {
	hash []byte
	team Team
}

// NewIndex returns the index of a valid manifest.
func NewIndex(m Manifest, digest string) *Index {
	x := &Index{
		Manifest: m,
		Digest:   digest,
		keys:     map[string]keyOwner{},
		services: map[string]Service{},
		versions: map[string]Version{},
		models:   map[string]bool{},
		allowed:  map[string]map[string]bool{},
	}
	for _, s := range m.Services {
		x.services[s.ID] = s
	}
	for _, v := range m.Versions {
		x.versions[v.ID] = v
		x.models[v.Model] = true
	}
	for _, t := range m.Teams {
		x.addTeam(t)
	}
	return x
}

func (x *Index) addTeam(t Team) {
	for _, h := range t.KeyHashes {
		sum, _ := hex.DecodeString(h)
		x.keys[h] = keyOwner{hash: sum, team: t}
	}
	allowed := map[string]bool{}
	for _, v := range t.Allowed {
		allowed[v] = true
	}
	for _, s := range t.Services {
		allowed["service:"+s] = true
	}
	x.allowed[t.ID] = allowed
}

// TeamByKey returns the team that an API key belongs to. The key is hashed before
// the lookup, so that the time of the lookup reveals nothing about a stored hash;
// the final comparison also takes constant time.
func (x *Index) TeamByKey(key string) (Team, bool) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := x.keys[hex.EncodeToString(sum[:])]
	if !ok || subtle.ConstantTimeCompare(owner.hash, sum[:]) != 1 {
		return Team{}, false
	}
	return owner.team, true
}

// HashKey returns the form of an API key in a manifest, its SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Version returns one version's entry.
func (x *Index) Version(id string) (Version, bool) {
	v, ok := x.versions[id]
	return v, ok
}

// HasModel reports whether name is a model or a version of the manifest.
func (x *Index) HasModel(name string) bool {
	_, isVersion := x.versions[name]
	return isVersion || x.models[name]
}

// MayUse reports whether the team may use the version name, or any version of the
// model name.
func (x *Index) MayUse(team, name string) bool {
	allowed := x.allowed[team]
	if allowed[name] {
		return true
	}
	for v := range allowed {
		if x.versions[v].Model == name {
			return true
		}
	}
	return false
}

// Service returns one service, and whether it exists and the team may call it.
func (x *Index) Service(team, id string) (s Service, known, allowed bool) {
	s, known = x.services[id]
	return s, known, x.allowed[team]["service:"+id]
}

// Idempotent reports whether a call of the service may be repeated. The first route
// that matches decides. A call that matches none is not idempotent: repeating it
// does more harm than refusing it.
func (s Service) Idempotent(method, callPath string) bool {
	for _, r := range s.Routes {
		if r.Method != method {
			continue
		}
		if ok, _ := path.Match(r.Path, callPath); ok {
			return r.Idempotent
		}
	}
	return false
}

var decisionStates = map[string]decision.VersionState{
	StateServing:   decision.VersionServing,
	StateDraining:  decision.VersionDraining,
	StateWithdrawn: decision.VersionWithdrawn,
}

// DecisionEvent returns the event that reports the manifest to package decision.
func (x *Index) DecisionEvent() decision.ManifestApplied {
	out := decision.ManifestApplied{Generation: x.Manifest.Generation}
	for _, v := range x.Manifest.Versions {
		out.Versions = append(out.Versions, decision.Version{
			ID:          decision.VersionID(v.ID),
			Model:       decision.ModelID(v.Model),
			State:       decisionStates[v.State],
			Share:       v.Share,
			Predecessor: decision.VersionID(v.Predecessor),
			Cost:        v.Cost,
			Quality:     v.Quality,
		})
	}
	for _, t := range x.Manifest.Teams {
		out.Teams = append(out.Teams, decisionTeam(t))
	}
	return out
}

func decisionTeam(t Team) decision.Team {
	out := decision.Team{
		ID:            decision.TeamID(t.ID),
		Weight:        t.Weight,
		QueueLimit:    t.QueueLimit,
		QualityTarget: t.QualityTarget,
	}
	for _, v := range t.Allowed {
		out.Allowed = append(out.Allowed, decision.VersionID(v))
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, decision.ServiceID(s))
	}
	return out
}
