package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// place is one setting's value and the path that it has in this file.
type place struct {
	path  string
	value reflect.Value
}

// places finds the values that a Field's path stands for: one, or one for each
// element where the path goes through an array.
func places(root reflect.Value, pattern string) []place {
	found := []place{{"", root}}
	for _, key := range strings.Split(pattern, ".") {
		name, each := strings.CutSuffix(key, "[]")
		var next []place
		for _, p := range found {
			index := fieldsByKey(p.value.Type())[name]
			child := place{join(p.path, name), p.value.Field(index)}
			if !each {
				next = append(next, child)
				continue
			}
			for i := range child.value.Len() {
				next = append(next, place{fmt.Sprintf("%s[%d]", child.path, i), child.value.Index(i)})
			}
		}
		found = next
	}
	return found
}

// checkRanges holds every setting to its rule.
func (d *decoder) checkRanges(s *Settings) {
	root := reflect.ValueOf(s).Elem()
	for _, f := range Fields() {
		for _, p := range places(root, f.Path) {
			if d.brokenAt(p.path) {
				continue
			}
			if message := f.Rule.check(p.value); message != "" {
				d.list.add(d.offsetOf(p.path), p.path, "%s", message)
			}
		}
	}
}

// brokenAt says that path, or an object around it, has a fault already.
func (d *decoder) brokenAt(path string) bool {
	for path != "" {
		if d.list.broken[path] {
			return true
		}
		path = parent(path)
	}
	return false
}

// offsetOf is where a setting stands, or the nearest object around it for one
// that the file leaves out.
func (d *decoder) offsetOf(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = parent(path)
	}
}

// parent cuts the last key off a path.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// checkTogether holds settings to each other.
func (d *decoder) checkTogether(s *Settings) {
	d.checkPeer(s)
	d.checkKeyRing(s.Session.Keys)
}

// checkPeer refuses plaintext between instances beyond loopback: whoever can
// reach the port could hand an instance state and verdicts.
func (d *decoder) checkPeer(s *Settings) {
	set := 0
	for _, file := range []string{s.Peer.CertFile, s.Peer.KeyFile, s.Peer.CAFile} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		d.list.add(d.offsetOf("peer"), "peer", "cert_file, key_file and ca_file must be set together")
	}
	addr, err := netip.ParseAddrPort(s.Listen.Peer)
	if set == 0 && err == nil && !addr.Addr().Unmap().IsLoopback() {
		d.list.add(d.offsetOf("listen.peer"), "listen.peer",
			"%s is not loopback: peers need cert_file, key_file and ca_file there", addr)
	}
}

// checkKeyRing refuses two keys with one id: a token names its key by id.
func (d *decoder) checkKeyRing(keys []SessionKey) {
	seen := map[string]bool{}
	for i, k := range keys {
		path := fmt.Sprintf("session.keys[%d].id", i)
		if seen[k.ID] && !d.list.broken[path] {
			d.list.add(d.offsetOf(path), path, "%q is given twice", k.ID)
		}
		seen[k.ID] = true
	}
}
