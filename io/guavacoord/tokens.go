package guavacoord

import (
	"context"
	"time"

	"guavaridge/core/guavaquota"
)

// tokenCache caches the tokens of an account that were granted to this VM.
type tokenCache struct {
	guavaquota.TokenCache
	waiting  int
	fetching bool
	updated  chan struct{} // closed and replaced when a fetch ends
}

const (
	// minRetryAfter is the minimum time after which a caller without a token may retry.
	minRetryAfter = 50 * time.Millisecond
	// announceInterval is the interval between announcements to the owners of groups that this VM uses them.
	announceInterval = 400 * time.Millisecond
)

// Token is the permission to run one request of a client account.
type Token struct {
	account string
	expiry  time.Time
}

// Token returns a token of a client account. If ok is false, there is none, and the caller may retry after the time
// returned.
func (c *Client) Token(ctx context.Context, account string) (t Token, ok bool, after time.Duration) {
	c.awaitPeers(ctx, groupKey(guavaquota.Group(account)))
	c.mu.Lock()
	s := c.tokenCaches[account]
	if s == nil {
		s = &tokenCache{updated: make(chan struct{})}
		c.tokenCaches[account] = s
	}
	for range maxAttempts {
		now := time.Now()
		if expiry, ok := s.Use(now); ok {
			c.mu.Unlock()
			return Token{account: account, expiry: expiry}, true, 0
		}
		if d := s.RetryAfter(now); d > 0 {
			c.mu.Unlock()
			return Token{}, false, max(d, minRetryAfter)
		}
		if !s.fetching {
			s.fetching = true
			go c.fetch(account, s)
		}
		s.waiting++
		changed := s.updated
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
	return Token{}, false, suspectDuration
}

// Return returns the token of a request that was not executed and never will be.
func (c *Client) Return(t Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.tokenCaches[t.account]; s != nil {
		s.Return(time.Now(), t.expiry)
	}
}

// fetch requests tokens from the owner of the account's group and updates the cache with its reply.
func (c *Client) fetch(account string, s *tokenCache) {
	for range maxAttempts {
		c.mu.Lock()
		vm := c.responsibleVM(groupKey(guavaquota.Group(account)))
		c.lastNumber++
		number := c.lastNumber
		reply := make(chan given, 1)
		c.tokenRequests[number] = reply
		sent := time.Now()
		want, recent, total := max(s.Want(s.waiting), 1), s.Recent(sent, c.tolerance), s.Total()
		c.mu.Unlock()
		c.send(vm, take{
			Number: number, Account: account, Want: want, Recent: recent, Fresh: c.tolerance.IsFresh(c.started, sent),
			Total: total.Tokens, TotalAge: sent.Sub(total.At), Owner: total.Owner,
		})
		timer := time.NewTimer(replyTimeout)
		select {
		case g := <-reply:
			timer.Stop()
			c.mu.Lock()
			if g.Granted == 0 && c.responsibleVM(groupKey(guavaquota.Group(account))) != vm {
				c.mu.Unlock()
				continue // the owner changed meanwhile, so its denial says nothing
			}
			now := time.Now()
			s.Add(sent, now, g.Granted, g.After, guavaquota.Total{Owner: g.Owner, Tokens: g.Total, At: now}, c.tolerance)
			c.finishFetch(s)
			c.mu.Unlock()
			return
		case <-timer.C:
			c.mu.Lock()
			delete(c.tokenRequests, number)
			c.mu.Unlock()
			c.suspect(vm)
		}
	}
	c.mu.Lock()
	c.finishFetch(s)
	c.mu.Unlock()
}

// finishFetch wakes the calls of Token that wait for the fetch. c.mu must be locked.
func (c *Client) finishFetch(s *tokenCache) {
	s.fetching = false
	close(s.updated)
	s.updated = make(chan struct{})
}

// announceGroups tells the owners of groups of client accounts which groups this VM uses them for. It sends to all
// owners, as a heartbeat, or only to those whose groups have changed.
func (c *Client) announceGroups(all bool) {
	groups := map[string][]int{}
	changed := map[string]bool{}
	c.mu.Lock()
	listed := c.listed
	for g := range c.owners {
		vm, previous := c.responsibleVM(groupKey(g)), c.owners[g]
		groups[vm] = append(groups[vm], g)
		if vm == previous {
			continue
		}
		c.owners[g] = vm
		changed[vm] = true
		if previous != "" {
			changed[previous] = true
		}
		for account, s := range c.tokenCaches {
			if guavaquota.Group(account) == g {
				s.ClearDenial() // it came from the previous owner
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
			c.send(vm, adopt{Groups: list, Listed: listed})
		}
	}
}
