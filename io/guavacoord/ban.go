package guavacoord

import (
	"strconv"
	"strings"
	"time"

	"guavaridge/core/guavapoison"
	"guavaridge/io/guavamesh"
)

// lossInterval is the minimum time between two messages about lost runs. A crash loses many at once.
const lossInterval = 20 * time.Millisecond

// encodeBans returns the message for bans.
func encodeBans(now time.Time, list []guavapoison.Ban) banned {
	var m banned
	for _, b := range list {
		m.List = append(m.List, ban{
			Content: b.ID(), Left: max(b.Until.Sub(now), 0), Traits: b.Traits, Trials: b.Trials, Confirmed: b.Confirmed,
			Sound: b.Sound, Changed: b.Changed.UnixMilli(), Lifted: b.Lifted, Suspected: b.Suspected,
		})
	}
	return m
}

// withLosses returns the message with lost runs.
func (m banned) withLosses(now time.Time, list []guavapoison.Loss) banned {
	m.Lost = make([]loss, 0, len(list))
	for _, l := range list {
		m.Lost = append(m.Lost, loss{
			ID: l.ID, Server: l.Server, Began: now.Sub(l.Began), Ended: now.Sub(l.At), Content: l.Content, Parts: l.Parts, Traits: l.Traits,
			Item: l.Item, Silent: l.Silent, Crashed: l.Crashed, Recorder: l.Recorder,
		})
	}
	return m
}

// losses returns the lost runs of a message.
func (m banned) losses(now time.Time) []guavapoison.Loss {
	list := make([]guavapoison.Loss, 0, len(m.Lost))
	for _, l := range m.Lost {
		list = append(list, guavapoison.Loss{
			Run: guavapoison.Run{
				ID: l.ID, Server: l.Server, Began: now.Add(-l.Began), Content: l.Content, Parts: l.Parts, Item: l.Item,
			},
			At: now.Add(-max(l.Ended, 0)), Silent: l.Silent, Crashed: l.Crashed, Traits: l.Traits,
			Recorder: l.Recorder,
		})
	}
	return list
}

// decode returns the bans of a message. Those of an earlier version have only Content and Left.
func (m banned) decode(now time.Time) []guavapoison.Ban {
	list := make([]guavapoison.Ban, 0, len(m.List))
	for _, b := range m.List {
		n := guavapoison.Ban{
			Traits: b.Traits, Until: now.Add(b.Left), Trials: b.Trials, Confirmed: b.Confirmed, Sound: b.Sound,
			Changed: time.UnixMilli(b.Changed), Lifted: b.Lifted, Suspected: b.Suspected,
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

// publishLosses sends lost runs that this VM has recorded, or of which it knows more, to the VMs that it has links to. All VMs
// that use this one as a coordinator have one.
func (c *Client) publishLosses() {
	c.lossMu.Lock()
	defer c.lossMu.Unlock()
	if c.lossTimer != nil {
		return // it will send them
	}
	c.sendLosses()
}

// sendLosses sends the lost runs that have not been sent. If there are any, later ones are sent after lossInterval.
// c.lossMu must be locked.
func (c *Client) sendLosses() {
	c.lossTimer = nil
	list := c.crashes.TakeLosses()
	if len(list) == 0 {
		return
	}
	c.mesh.Broadcast(nil, banned{}.withLosses(time.Now(), list))
	c.lossTimer = time.AfterFunc(lossInterval, func() {
		c.lossMu.Lock()
		defer c.lossMu.Unlock()
		c.sendLosses()
	})
}

// mergeLosses adopts what another VM knows of lost runs, and tells it what this one knows better.
func (c *Client) mergeLosses(l *guavamesh.Link, m banned) {
	now := time.Now()
	if len(m.Lost) == 0 {
		return
	}
	newer := c.crashes.MergeLosses(now, l.Peer.Name, m.losses(now))
	c.publishBans(c.crashes.TakeChanges())
	c.publishLosses()
	if len(newer) > 0 {
		l.Send(banned{}.withLosses(now, newer))
	}
}

func (c *Client) logBans(now time.Time, list []guavapoison.Ban) {
	for _, b := range list {
		traits := make([]string, 0, len(b.Traits))
		for _, t := range b.Traits {
			traits = append(traits, strconv.FormatUint(t, 16))
		}
		switch {
		case b.Lifted:
			c.logger.Info("ban lifted", "content", strings.Join(traits, ","))
			continue
		case b.Suspected:
			c.logger.Info("request suspected of crashing servers", "content", strings.Join(traits, ","), "sound", b.Sound)
			continue
		}
		c.logger.Warn("request crashes servers", "content", strings.Join(traits, ","), "refused",
			b.Until.Sub(now).Milliseconds(), "confirmed", b.Confirmed, "sound", b.Sound, "trials", b.Trials)
	}
}
