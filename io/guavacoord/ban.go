package guavacoord

import (
	"maps"
	"strconv"
	"time"

	"guavaridge/core/guavaplace"
	"guavaridge/io/guavamesh"
)

// maxBans bounds the number of bans that a VM stores, each of about 50 bytes.
const maxBans = 500

// bans maps the content hash of a request that is refused because it crashes servers to the time at which the ban
// expires. Every VM stores all bans, since the coordinator that counted the crashes can fail.
type bans map[uint64]time.Time

// add stores a ban and reports whether it is new. A ban beyond maxBans is dropped.
func (b bans) add(now time.Time, n guavaplace.Ban) bool {
	if b[n.Content].After(now) {
		return false
	}
	if len(b) >= maxBans {
		maps.DeleteFunc(b, func(_ uint64, expiry time.Time) bool { return !expiry.After(now) })
	}
	if len(b) >= maxBans {
		return false
	}
	b[n.Content] = now.Add(n.Left)
	return true
}

// list returns the bans that have not expired.
func (b bans) list(now time.Time) []guavaplace.Ban {
	list := make([]guavaplace.Ban, 0, len(b))
	for content, expiry := range b {
		if remaining := expiry.Sub(now); remaining > 0 {
			list = append(list, guavaplace.Ban{Content: content, Left: remaining})
		}
	}
	return list
}

// addBans stores bans and forwards the new ones on all other links. They were received on the link from, or come from
// this VM's own schedulers if from is nil.
func (c *Client) addBans(from *guavamesh.Link, list []guavaplace.Ban) {
	now := time.Now()
	var added []guavaplace.Ban
	c.mu.Lock()
	for _, b := range list {
		if c.bans.add(now, b) {
			added = append(added, b)
			c.logger.Warn("request crashes servers", "content", strconv.FormatUint(b.Content, 16), "refused", b.Left.Milliseconds())
		}
	}
	c.mu.Unlock()
	if len(added) == 0 {
		return
	}
	c.mesh.Broadcast(from, banned{List: added})
}

// banRemaining returns how long requests with the content hash are still refused, 0 if there is no ban.
func (c *Client) banRemaining(content uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(time.Until(c.bans[content]), 0)
}
