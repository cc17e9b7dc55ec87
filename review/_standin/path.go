package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// plainTargets have no characters that a URL normalizer changes, escapedTargets have.
var (
	plainTargets   = []string{"/booking/7", "/booking/7/confirm", "/booking/7?slot=3&note=a%2Fb", "/booking/caf%C3%A9"}
	escapedTargets = []string{
		"/booking/2026%2F12%2F05", "/booking/a%2Bb", "/booking/tag%3A7", "/booking/%7Eowner", "/booking//7", "/booking/7!",
		"/booking/(7)", "/booking/7/./8", "/booking/7/..%2F..%2Fcaption/5",
	}
)

// playPath sends requests whose paths have escapes or empty segments, and compares what the servers get.
func playPath(record io.Writer, trouble bool) (bool, error) {
	c, err := newCluster(record, 3, configuration(0, 0))
	if err != nil {
		return false, err
	}
	defer c.stop()
	for i := range 3 {
		newBackend(c, fmt.Sprintf("booking%d", i), "booking")
		newBackend(c, fmt.Sprintf("engine%d", i), "engine")
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	targets := plainTargets
	if trouble {
		targets = append(targets, escapedTargets...)
	}
	sent := map[string]string{}
	for i, target := range targets {
		id := c.newID()
		sent[id] = target
		status, err := c.sendRaw(c.vms[i%len(c.vms)], target, id)
		c.note("request %s to %s, target %s: status %d, error %v", id, c.vms[i%len(c.vms)].name, target, status, err)
	}
	changed := 0
	for _, a := range c.list() {
		if a.target != sent[a.id] {
			changed++
			c.note("request %s was sent with target %s, %s ran it with target %s", a.id, sent[a.id], a.server, a.target)
		}
	}
	c.note("%d requests sent, %d run with another target", len(sent), changed)
	return changed > 0, nil
}

// sendRaw sends a request whose target is not interpreted by a client library.
func (c *cluster) sendRaw(v *vm, target, id string) (int, error) {
	conn, err := net.Dial("tcp", v.front)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, err
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: 1500\r\nContent-Length: 7\r\n\r\nbooking",
		target, host, id, key)
	if err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	_, err = io.ReadAll(r.Body)
	return r.StatusCode, err
}
