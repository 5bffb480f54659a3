package manifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"

	"masticplank.example/decision"
)

// Index answers an instance's questions about one manifest. It never changes
// after New, so any goroutine may read it.
type Index struct {
	Manifest Manifest
	// Digest names the encoded manifest; the next one states it as its parent.
	Digest string

	keys     map[string]keyOwner
	services map[string]Service
	versions map[string]Version
	models   map[string]bool
	allowed  map[string]map[string]bool
}

type keyOwner struct {
	hash []byte
	team Team
}

// NewIndex builds the index of a valid manifest.
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
	set := map[string]bool{}
	for _, v := range t.Allowed {
		set[v] = true
	}
	for _, s := range t.Services {
		set["service:"+s] = true
	}
	x.allowed[t.ID] = set
}

// TeamByKey finds the team that an API key belongs to. The key is hashed before
// it is looked up, so the time taken tells nothing about a stored hash; the
// last compare is constant-time besides.
func (x *Index) TeamByKey(key string) (Team, bool) {
	sum := sha256.Sum256([]byte(key))
	owner, ok := x.keys[hex.EncodeToString(sum[:])]
	if !ok || subtle.ConstantTimeCompare(owner.hash, sum[:]) != 1 {
		return Team{}, false
	}
	return owner.team, true
}

// HashKey is how an API key is kept in a manifest.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Version returns one version's row.
func (x *Index) Version(id string) (Version, bool) {
	v, ok := x.versions[id]
	return v, ok
}

// KnowsModel says whether name is a model or a version here.
func (x *Index) HasModel(name string) bool {
	_, isVersion := x.versions[name]
	return isVersion || x.models[name]
}

// MayUse says whether the team may use a version, or any version of a model.
func (x *Index) MayUse(team, name string) bool {
	set := x.allowed[team]
	if set[name] {
		return true
	}
	for v := range set {
		if x.versions[v].Model == name {
			return true
		}
	}
	return false
}

// Service returns one service, and whether the team may call it.
func (x *Index) Service(team, id string) (s Service, known, allowed bool) {
	s, known = x.services[id]
	return s, known, x.allowed[team]["service:"+id]
}

// Idempotent says whether a call of the service may be repeated. A call that
// matches no route is not: the harm of repeating it is worse than of refusing.
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

// Tables gives the manifest as the decision takes it.
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
	row := decision.Team{
		ID:            decision.TeamID(t.ID),
		Weight:        t.Weight,
		QueueLimit:    t.QueueLimit,
		QualityTarget: t.QualityTarget,
	}
	for _, v := range t.Allowed {
		row.Allowed = append(row.Allowed, decision.VersionID(v))
	}
	for _, s := range t.Services {
		row.Services = append(row.Services, decision.ServiceID(s))
	}
	return row
}
