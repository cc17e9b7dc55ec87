package guavacoord

import (
	"context"
	"time"

	"guavaridge/core/guavaquota"
)

// stock is the tokens of an account at this VM.
type stock struct {
	guavaquota.TokenCache
	waiting int
	asking  bool
	changed chan struct{} // closed when an answer has come
}

const (
	// leastDenied is the shortest time after which a caller without a token may come back.
	leastDenied = 50 * time.Millisecond
	// adoptTime is the pause between messages that tell owners which VMs turn to them.
	adoptTime = 400 * time.Millisecond
)

// Token is the permission to run one request of a client account.
type Token struct {
	account string
	until   time.Time
}

// Token takes a token of a client account. It returns whether there was one, and otherwise when to come back.
func (c *Client) Token(ctx context.Context, account string) (t Token, ok bool, after time.Duration) {
	c.settle(ctx, groupKey(guavaquota.Group(account)))
	c.mu.Lock()
	s := c.stocks[account]
	if s == nil {
		s = &stock{changed: make(chan struct{})}
		c.stocks[account] = s
	}
	for range tries {
		now := time.Now()
		if until, ok := s.Use(now); ok {
			c.mu.Unlock()
			return Token{account: account, until: until}, true, 0
		}
		if d := s.RetryAfter(now); d > 0 {
			c.mu.Unlock()
			return Token{}, false, max(d, leastDenied)
		}
		if !s.asking {
			s.asking = true
			go c.fetch(account, s)
		}
		s.waiting++
		changed := s.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		c.mu.Lock()
		s.waiting--
		if ctx.Err() != nil {
			break
		}
	}
	c.mu.Unlock()
	return Token{}, false, suspectTime
}

// Return takes back the token of a request that has not run and never will.
func (c *Client) Return(t Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.stocks[t.account]; s != nil {
		s.Return(time.Now(), t.until)
	}
}

// fetch asks the owner of the account for tokens.
func (c *Client) fetch(account string, s *stock) {
	for range tries {
		c.mu.Lock()
		vm := c.decider(groupKey(guavaquota.Group(account)))
		c.number++
		number := c.number
		answer := make(chan given, 1)
		c.takes[number] = answer
		want := max(s.Want(s.waiting), 1)
		c.mu.Unlock()
		asked := time.Now()
		c.send(vm, take{Number: number, Account: account, Want: want})
		timer := time.NewTimer(replyTime)
		select {
		case g := <-answer:
			timer.Stop()
			c.mu.Lock()
			s.Add(asked, time.Now(), g.Granted, g.After)
			c.finish(s)
			c.mu.Unlock()
			return
		case <-timer.C:
			c.mu.Lock()
			delete(c.takes, number)
			c.mu.Unlock()
			c.suspect(vm)
		}
	}
	c.mu.Lock()
	c.finish(s)
	c.mu.Unlock()
}

// finish wakes those who wait for the answer.
func (c *Client) finish(s *stock) {
	s.asking = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// adopt tells the owners of rates which groups this VM turns to them for: all of them, so that they know that it lives, or
// those for which something has changed.
func (c *Client) adopt(all bool) {
	groups := map[string][]int{}
	changed := map[string]bool{}
	c.mu.Lock()
	for g := range c.owners {
		vm, before := c.decider(groupKey(g)), c.owners[g]
		groups[vm] = append(groups[vm], g)
		if vm == before {
			continue
		}
		c.owners[g] = vm
		changed[vm] = true
		if before != "" {
			changed[before] = true
		}
		for account, s := range c.stocks {
			if guavaquota.Group(account) == g {
				s.ClearDenial() // what another owner denied
			}
		}
	}
	c.mu.Unlock()
	for vm := range changed {
		if groups[vm] == nil {
			groups[vm] = []int{}
		}
	}
	for vm, list := range groups {
		if all || changed[vm] {
			c.send(vm, adopt{Groups: list})
		}
	}
}
