package guavaplace

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxShardServers is the number of servers above which a shard is split. With a hundred VMs, the coordinator of a
	// thousand servers moves 1.7 MB/s and uses a fifth of a core (docs/CAPACITY.md); the smallest VMs carry a quarter
	// of that.
	maxShardServers = 256
	// minShardServers is the number of servers per shard below which shards are merged. It is far enough below half of
	// maxShardServers that adding or removing a few servers changes nothing.
	minShardServers = 96
)

// Shard is the part of a service's servers that one Scheduler decides for. Services of up to a few hundred servers have
// one.
//
// The message traffic of a service grows with its load and servers, until no single VM can coordinate all of it. Shards
// are large enough for the load of one to vary little: 96 servers have hundreds of slots.
type Shard struct {
	Service      string
	Index, Count int
}

// ShardCount returns the number of shards for a number of servers, given the previous number of shards, or 0 if there
// is none.
func ShardCount(servers, previous int) int {
	n := max(previous, 1)
	for servers > maxShardServers*n {
		n *= 2
	}
	for n > 1 && servers < minShardServers*n {
		n /= 2
	}
	return n
}

// ParseShard is the inverse of String. Any text that is not a shard name is taken as a service with a single shard.
func ParseShard(name string) Shard {
	unsharded := Shard{Service: name, Count: 1}
	i := strings.LastIndexByte(name, '#')
	if i < 0 {
		return unsharded
	}
	index, count, ok := strings.Cut(name[i+1:], "/")
	if !ok {
		return unsharded
	}
	k, err := strconv.Atoi(index)
	n, countErr := strconv.Atoi(count)
	if err != nil || countErr != nil || k < 0 || n < 2 || k >= n {
		return unsharded
	}
	return Shard{Service: name[:i], Index: k, Count: n}
}

// String returns the name of the shard, which for a single shard is the name of the service.
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
