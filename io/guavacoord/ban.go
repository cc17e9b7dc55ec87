package guavacoord

import (
	"strconv"
	"strings"
	"time"

	"guavaridge/core/guavapoison"
	"guavaridge/io/guavamesh"
)

// encodeBans returns the message for bans.
func encodeBans(now time.Time, list []guavapoison.Ban) banned {
	var m banned
	for _, b := range list {
		m.List = append(m.List, ban{
			Content: b.ID(), Left: max(b.Until.Sub(now), 0), Traits: b.Traits, Trials: b.Trials, Confirmed: b.Confirmed,
			Sound: b.Sound, Changed: b.Changed.UnixMilli(), Lifted: b.Lifted,
		})
	}
	return m
}

// decode returns the bans of a message. Those of an earlier version have only Content and Left.
func (m banned) decode(now time.Time) []guavapoison.Ban {
	list := make([]guavapoison.Ban, 0, len(m.List))
	for _, b := range m.List {
		n := guavapoison.Ban{
			Traits: b.Traits, Until: now.Add(b.Left), Trials: b.Trials, Confirmed: b.Confirmed, Sound: b.Sound,
			Changed: time.UnixMilli(b.Changed), Lifted: b.Lifted,
		}
		if len(n.Traits) == 0 {
			n.Traits = []uint64{b.Content}
		}
		list = append(list, n)
	}
	return list
}

// OnBans sets the function that receives the bans that this VM has changed, for the store. It is called before Run.
func (c *Client) OnBans(save func(list []guavapoison.Ban)) { c.saveBans = save }

// Bans returns the number of bans that refuse requests.
func (c *Client) Bans() int { return c.crashes.Active(time.Now()) }

// MergeBans adopts the bans of the store. Those that are new to this VM are sent to other VMs.
func (c *Client) MergeBans(list []guavapoison.Ban) { c.mergeBans(nil, list) }

// LiftBan lifts the ban with an ID, whose row an operator has removed.
func (c *Client) LiftBan(id uint64) {
	c.crashes.Lift(time.Now(), id)
	c.publishBans(c.crashes.TakeChanges())
}

// mergeBans adopts bans and forwards those that are new on all links but the one on which they were received. Requests that
// wait here are refused with the next decision of their scheduler.
func (c *Client) mergeBans(from *guavamesh.Link, list []guavapoison.Ban) {
	now := time.Now()
	adopted := c.crashes.Merge(now, list)
	if len(adopted) == 0 {
		return
	}
	c.logBans(now, adopted)
	c.mesh.Broadcast(from, encodeBans(now, adopted))
	c.publishBans(c.crashes.TakeChanges())
}

// publishBans sends bans that this VM has changed to the other VMs and to the store.
func (c *Client) publishBans(list []guavapoison.Ban) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	c.logBans(now, list)
	c.mesh.Broadcast(nil, encodeBans(now, list))
	if c.saveBans != nil {
		c.saveBans(list)
	}
}

func (c *Client) logBans(now time.Time, list []guavapoison.Ban) {
	for _, b := range list {
		traits := make([]string, 0, len(b.Traits))
		for _, t := range b.Traits {
			traits = append(traits, strconv.FormatUint(t, 16))
		}
		if b.Lifted {
			c.logger.Info("ban lifted", "content", strings.Join(traits, ","))
			continue
		}
		c.logger.Warn("request crashes servers", "content", strings.Join(traits, ","), "refused",
			b.Until.Sub(now).Milliseconds(), "confirmed", b.Confirmed, "sound", b.Sound, "trials", b.Trials)
	}
}
