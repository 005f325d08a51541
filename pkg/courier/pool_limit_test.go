package courier

import (
	"net"
	"testing"
)

// Guards against idle connections to many servers that take the descriptors for callers.
func TestIdleConnectionLimit(t *testing.T) {
	p := newPool(2)
	put := func(id string) (isKept bool) {
		local, remote := net.Pipe()
		t.Cleanup(func() { _ = remote.Close() })
		p.put(Target{ID: id}, &connection{Conn: local, idleTimeout: 1000}, 0)
		return len(p.idle[Target{ID: id}]) > 0
	}
	if !put("a") || !put("b") || put("c") {
		t.Errorf("kept %v, want the connections to a and b", p.idle)
	}
	if p.pop(Target{ID: "a"}) == nil || !put("d") {
		t.Error("a connection that was taken still counts")
	}
	p.sweep(func(target Target) bool { return target.ID == "d" }, 0)
	if !put("e") || put("f") {
		t.Error("a connection that was closed still counts")
	}
}
