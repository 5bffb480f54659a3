package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// place is one setting's value and the path that it has in this file.
type settingValue struct {
	path  string
	value reflect.Value
}

// places finds the values that a Field's path stands for: one, or one for each
// element where the path goes through an array.
func valuesAt(root reflect.Value, pattern string) []settingValue {
	values := []settingValue{{"", root}}
	for _, key := range strings.Split(pattern, ".") {
		name, each := strings.CutSuffix(key, "[]")
		var next []settingValue
		for _, p := range values {
			index := fieldsByKey(p.value.Type())[name]
			child := settingValue{joinPath(p.path, name), p.value.Field(index)}
			if !each {
				next = append(next, child)
				continue
			}
			for i := range child.value.Len() {
				next = append(next, settingValue{fmt.Sprintf("%s[%d]", child.path, i), child.value.Index(i)})
			}
		}
		values = next
	}
	return values
}

// checkRanges holds every setting to its rule.
func (d *decoder) checkRanges(s *Settings) {
	root := reflect.ValueOf(s).Elem()
	for _, f := range Fields() {
		for _, p := range valuesAt(root, f.Path) {
			if d.hasFault(p.path) {
				continue
			}
			if message := f.Rule.check(p.value); message != "" {
				d.faults.add(d.offsetOf(p.path), p.path, "%s", message)
			}
		}
	}
}

// brokenAt says that path, or an object around it, has a fault already.
func (d *decoder) hasFault(path string) bool {
	for path != "" {
		if d.faults.faulty[path] {
			return true
		}
		path = parentPath(path)
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
		path = parentPath(path)
	}
}

// parent cuts the last key off a path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// checkTogether holds settings to each other.
func (d *decoder) checkConsistency(s *Settings) {
	d.checkPeer(s)
	d.checkKeyRing(s.Session.Keys)
}

// checkPeer refuses plaintext between instances beyond loopback: whoever can
// reach the port could hand an instance state and verdicts.
func (d *decoder) checkPeer(s *Settings) {
	fileCount := 0
	for _, file := range []string{s.Peer.CertFile, s.Peer.KeyFile, s.Peer.CAFile} {
		if file != "" {
			fileCount++
		}
	}
	if fileCount != 0 && fileCount != 3 {
		d.faults.add(d.offsetOf("peer"), "peer", "cert_file, key_file and ca_file must be set together")
	}
	addr, err := netip.ParseAddrPort(s.Listen.Peer)
	if fileCount == 0 && err == nil && !addr.Addr().Unmap().IsLoopback() {
		d.faults.add(d.offsetOf("listen.peer"), "listen.peer",
			"%s is not loopback: peers need cert_file, key_file and ca_file there", addr)
	}
}

// checkKeyRing refuses two keys with one id: a token names its key by id.
func (d *decoder) checkKeyRing(keys []SessionKey) {
	seen := map[string]bool{}
	for i, k := range keys {
		path := fmt.Sprintf("session.keys[%d].id", i)
		if seen[k.ID] && !d.faults.faulty[path] {
			d.faults.add(d.offsetOf(path), path, "%q is given twice", k.ID)
		}
		seen[k.ID] = true
	}
}
