package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// settingValue is the value of one setting and its path in the settings file, such as
// "session.keys[0].id".
type settingValue struct {
	path  string
	value reflect.Value
}

// valuesAt returns the values that a Field's path stands for: a single one, or one
// for each element of the arrays that the path marks with "[]".
func valuesAt(root reflect.Value, pattern string) []settingValue {
	values := []settingValue{{"", root}}
	for _, key := range strings.Split(pattern, ".") {
		name, everyElement := strings.CutSuffix(key, "[]")
		var next []settingValue
		for _, parent := range values {
			index := fieldsByKey(parent.value.Type())[name]
			child := settingValue{joinPath(parent.path, name), parent.value.Field(index)}
			if !everyElement {
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

// checkRanges checks every setting against its rule, except those with a fault already.
func (d *decoder) checkRanges(s *Settings) {
	root := reflect.ValueOf(s).Elem()
	for _, f := range Fields() {
		for _, setting := range valuesAt(root, f.Path) {
			if d.hasFault(setting.path) {
				continue
			}
			if message := f.Rule.check(setting.value); message != "" {
				d.faults.add(d.offsetOf(setting.path), setting.path, "%s", message)
			}
		}
	}
}

// hasFault reports whether path, or an object that contains it, has a fault already.
func (d *decoder) hasFault(path string) bool {
	for path != "" {
		if d.faults.faulty[path] {
			return true
		}
		path = parentPath(path)
	}
	return false
}

// offsetOf returns the byte offset of a setting; for one that the file leaves out, that
// of the innermost object in the file that would contain it.
func (d *decoder) offsetOf(path string) int {
	for {
		if offset, ok := d.offsets[path]; ok {
			return offset
		}
		path = parentPath(path)
	}
}

// parentPath cuts the last key, with its index if it has one, off a path: the parent of
// "session.keys[2].id" is "session.keys[2]", whose parent is "session".
func parentPath(path string) string {
	return path[:max(strings.LastIndexByte(path, '.'), 0)]
}

// checkConsistency checks settings against each other.
func (d *decoder) checkConsistency(s *Settings) {
	d.checkPeer(s)
	d.checkKeyRing(s.Session.Keys)
}

// checkPeer refuses an incomplete set of TLS files, and plaintext between instances
// beyond loopback, since anyone who can reach the port could send an instance false
// state and verdicts.
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
			"%s is not a loopback address: peer.cert_file, peer.key_file and peer.ca_file must be set", addr)
	}
}

// checkKeyRing refuses two keys with the same id, since a session token names its
// key by id.
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
