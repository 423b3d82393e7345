// Package loopback gives stand-ins of peers addresses of their own in 127.0.0.0/8. A stand-in that stops listening for a while
// can then listen on the same port again: a port of 127.0.0.1 may have been given to another socket of the machine meanwhile.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// count is the number of addresses that Next has returned.
var count atomic.Uint32

// hostsPerNet is the number of addresses that are used of each network of 256.
const hostsPerNet = 250

// Next returns an address that no other caller in this process gets soon, with port 0. It is derived from the process id
// and a counter, so that other processes hardly use it.
func Next() string {
	pid, n := uint32(os.Getpid()), count.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 64+pid%128, (pid/128+n/hostsPerNet)%256, 1+n%hostsPerNet)
}
