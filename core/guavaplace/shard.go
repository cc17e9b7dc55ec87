package guavaplace

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// mostShard is the number of servers of a shard from which it is divided. At a hundred VMs the one that decides for a
	// thousand servers moves 1.7 MB/s and takes a fifth of a core (docs/CAPACITY.md); the smallest VMs carry a quarter of that.
	mostShard = 256
	// leastShard is the number of servers of a shard below which two are joined; far enough from half of mostShard that a few
	// servers more or less change nothing.
	leastShard = 96
)

// Shard is the part of a service's servers that one Scheduler decides for. Services of up to a few hundred servers have one.
//
// It answers the pattern in which load and servers grow together: the messages about a service's requests grow with it, and
// no VM is large enough for all. Shards are large enough for the load of one to vary little: 96 servers have hundreds of places.
type Shard struct {
	Service      string
	Index, Count int
}

// ShardCount returns the number of shards for a number of servers, given the number before; 0 stands for none yet.
func ShardCount(servers, before int) int {
	n := max(before, 1)
	for servers > mostShard*n {
		n *= 2
	}
	for n > 1 && servers < leastShard*n {
		n /= 2
	}
	return n
}

// ParseShard is the inverse of String. Any other text is a service with one shard.
func ParseShard(name string) Shard {
	whole := Shard{Service: name, Count: 1}
	i := strings.LastIndexByte(name, '#')
	if i < 0 {
		return whole
	}
	index, count, ok := strings.Cut(name[i+1:], "/")
	if !ok {
		return whole
	}
	k, err := strconv.Atoi(index)
	n, nerr := strconv.Atoi(count)
	if err != nil || nerr != nil || k < 0 || n < 2 || k >= n {
		return whole
	}
	return Shard{Service: name[:i], Index: k, Count: n}
}

// String returns the name of the shard: that of the service if it has one only.
func (s Shard) String() string {
	if s.Count < 2 {
		return s.Service
	}
	return fmt.Sprintf("%s#%d/%d", s.Service, s.Index, s.Count)
}

// Contains reports whether a server of the service belongs to the shard.
func (s Shard) Contains(server string) bool {
	return s.Count < 2 || int(xxhash.Sum64String(server)%uint64(s.Count)) == s.Index //nolint:gosec // small
}
