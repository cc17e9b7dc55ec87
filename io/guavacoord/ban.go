package guavacoord

import (
	"maps"
	"strconv"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/io/guavamesh"
)

// maxBans bounds the requests that a VM remembers as refused because they crash servers, each of some 50 bytes.
const maxBans = 500

// bans are the requests that are refused because they crash servers, by content, with the time until which they are. All
// VMs hold them, since the coordinator that counted the crashes can be lost.
type bans map[uint64]time.Time

// add notes a ban and reports whether it was unknown.
func (b bans) add(now time.Time, n guavaplace.Ban) bool {
	if b[n.Content].After(now) {
		return false
	}
	if len(b) >= maxBans {
		maps.DeleteFunc(b, func(_ uint64, until time.Time) bool { return !until.After(now) })
	}
	if len(b) >= maxBans {
		return false
	}
	b[n.Content] = now.Add(n.Left)
	return true
}

// list returns the bans that hold.
func (b bans) list(now time.Time) []guavaplace.Ban {
	list := make([]guavaplace.Ban, 0, len(b))
	for content, until := range b {
		if left := until.Sub(now); left > 0 {
			list = append(list, guavaplace.Ban{Content: content, Left: left})
		}
	}
	return list
}

// ban takes in bans that came over a link, or with nil from this VM's own schedulers, and passes the unknown ones on to the other VMs.
func (c *Client) ban(from *guavamesh.Link, list []guavaplace.Ban) {
	now := time.Now()
	var fresh []guavaplace.Ban
	c.mu.Lock()
	for _, b := range list {
		if c.bans.add(now, b) {
			fresh = append(fresh, b)
			c.logger.Warn("request crashes servers", "content", strconv.FormatUint(b.Content, 16), "refused", b.Left.Milliseconds())
		}
	}
	c.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	c.mesh.Broadcast(from, banned{List: fresh})
}

// banLeft returns for how long a content is refused because it crashes servers.
func (c *Client) banLeft(content uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(time.Until(c.bans[content]), 0)
}
