package loopback

import (
	"net"
	"testing"
)

// Guards against a stand-in that can't listen again on its port because another socket of the machine has taken it meanwhile.
func TestPortIsFreeAgain(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		address := Next()
		if seen[address] {
			t.Fatalf("%s twice", address)
		}
		seen[address] = true
	}
	ln, err := net.Listen("tcp", Next())
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	// Many others listen meanwhile, on addresses of their own and on the one that all programs use.
	for i := range 500 {
		other := Next()
		if i%2 == 0 {
			other = "127.0.0.1:0"
		}
		if ln, err := net.Listen("tcp", other); err == nil {
			defer func() { _ = ln.Close() }()
		}
	}
	ln, err = net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
}
