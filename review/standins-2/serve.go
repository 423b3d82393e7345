package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"whinrun/internal/clock"
	"whinrun/internal/testbed"
)

func init() {
	cases["8"] = subscriptionOfADayAgo
	cases["9"] = receiptsRenumbered
	cases["10"] = subscriptionOfAnother
}

// site is a dispatcher of a small site (whinrun serve) with one partner.
type site struct {
	env    *caseEnv
	addr   string
	config string
	trail  string
	cmd    *exec.Cmd
	exited chan struct{}
}

// newSite starts the partner, which answers 201 after delay, and writes the settings. With audit the site keeps a trail.
func (e *caseEnv) newSite(delay time.Duration, audit bool, more string) (*site, error) {
	s := &site{env: e, config: filepath.Join(e.dir, "site.ini"), trail: filepath.Join(e.dir, "trail")}
	partner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.note("partner runs %s", body)
		time.Sleep(delay)
		w.WriteHeader(201)
	})}
	go func() { _ = server.Serve(partner) }()
	e.cleanup(func() { _ = server.Close() })
	if s.addr, err = testbed.FreeAddr(); err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`[dispatcher]
listen = %s
[class status]
effect = safe
aim = 1500ms
deadline = 10s
worth = 1
[tenant farm]
token = farm-secret
[kind gateway]
dialect = push
[partner archive]
kind = gateway
endpoints = %s
[push /archive/status]
partner = archive
class = status
tenant = farm
`, s.addr, partner.Addr())
	if audit {
		text += "[audit]\nfolder = " + s.trail + "\n"
	}
	text += more
	return s, os.WriteFile(s.config, []byte(text), 0o600)
}

// start starts a process and waits until it listens.
func (s *site) start() error {
	// The deploy file's command runs the program as a node. The same program serves a small site.
	command := strings.TrimSuffix(s.env.run, " node") + " serve --config=" + s.config
	s.cmd = exec.Command("/bin/sh", "-c", command)
	log, err := os.OpenFile(s.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	s.cmd.Stdout, s.cmd.Stderr = log, log
	if err := s.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := s.cmd, make(chan struct{})
	s.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	s.env.cleanup(func() {
		_ = cmd.Process.Kill()
		<-exited
	})
	watch := clock.StartStopwatch()
	for watch.Elapsed() < 20*time.Second {
		if c, err := net.DialTimeout("tcp", s.addr, time.Second); err == nil {
			_ = c.Close()
			s.env.note("dispatcher started")
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	text, _ := os.ReadFile(s.config + ".log")
	return fmt.Errorf("the dispatcher does not listen: %s", text)
}

// end ends the process with a signal and waits for that.
func (s *site) end(signal syscall.Signal) {
	_ = s.cmd.Process.Signal(signal)
	<-s.exited
	s.env.note("dispatcher ended (%v)", signal)
}

// client is one program of a sender. It has a connection of its own.
type client struct {
	site *site
	http *http.Client
}

// newClient returns a client.
func (s *site) newClient() *client {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &client{s, &http.Client{Transport: &http.Transport{Protocols: &protocols}}}
}

// do sends a request and returns the status, the Location and the body. The status is 0 if no answer came.
func (c *client) do(method, path, body string, fields ...string) (status int, location string, content []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.site.addr+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", nil
	}
	req.Header.Set("Authorization", "Bearer farm-secret")
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, "", nil
	}
	content, _ = io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res.StatusCode, res.Header.Get("Location"), content
}

// subscribe makes a receipt subscription and returns its path.
func (c *client) subscribe(who string) (string, error) {
	status, location, _ := c.do("POST", "/receipts/farm", "")
	if status != 201 {
		return "", fmt.Errorf("POST /receipts/farm: status %d", status)
	}
	c.site.env.note("%s makes the subscription %s", who, location)
	return location, nil
}

// post hands in a message whose receipt goes to a subscription. It returns the message's name, or "" if it was not taken on.
func (c *client) post(who, subscription, body string) string {
	status, location, _ := c.do("POST", "/archive/status", body, "TTL", "8", "Prefer", "respond-async", "Push-Receipt", subscription)
	name := strings.TrimPrefix(location, "/m/")
	if status != 202 || name == "" {
		c.site.env.note("%s: message %s is not taken on, status %d", who, body, status)
		return ""
	}
	c.site.env.note("%s: message %s is taken on as %s", who, body, name)
	return name
}

// receiptEntry is one receipt as a subscription returns it.
type receiptEntry struct {
	No      uint64
	Receipt struct{ Message, Answer string }
}

// receipts reads the oldest receipts of a subscription.
func (c *client) receipts(who, subscription string) (status int, entries []receiptEntry) {
	status, _, content := c.do("GET", subscription, "")
	if status == 200 {
		_ = json.Unmarshal(content, &entries)
	}
	var text []string
	for _, r := range entries {
		text = append(text, fmt.Sprintf("%d:%s:%s", r.No, r.Receipt.Message, r.Receipt.Answer))
	}
	c.site.env.note("%s: GET %s is answered %d %s", who, subscription, status, strings.Join(text, " "))
	return status, entries
}

// remove deletes a receipt.
func (c *client) remove(who, subscription string, no uint64) int {
	status, _, _ := c.do("DELETE", fmt.Sprintf("%s/%d", subscription, no), "")
	c.site.env.note("%s: DELETE %s/%d is answered %d", who, subscription, no, status)
	return status
}

// readAll reads and deletes receipts until there are none for a second, and adds the messages to seen.
func (c *client) readAll(who, subscription string, seen map[string]bool) {
	for quiet := 0; quiet < 5; {
		_, entries := c.receipts(who, subscription)
		if len(entries) == 0 {
			quiet++
			time.Sleep(200 * time.Millisecond)
			continue
		}
		quiet = 0
		for _, r := range entries {
			seen[r.Receipt.Message] = true
			c.remove(who, subscription, r.No)
		}
	}
}

// awaitReceipts waits until a subscription has at least n receipts.
func (c *client) awaitReceipts(who, subscription string, n int) ([]receiptEntry, error) {
	for range 50 {
		if _, entries := c.receipts(who, subscription); len(entries) >= n {
			return entries, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("the subscription does not get %d receipts", n)
}

// missing returns the messages that were taken on and have no receipt among those seen.
func missing(taken []string, seen map[string]bool) []string {
	return slices.DeleteFunc(slices.Clone(taken), func(name string) bool { return seen[name] })
}

// receiptsRenumbered restarts the dispatcher between the moment at which a reader gets receipts and the moment at which it deletes
// them.
func receiptsRenumbered(e *caseEnv) ([]string, error) {
	s, err := e.newSite(5*time.Millisecond, true, "")
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	sender := s.newClient()
	subscription, err := sender.subscribe("sender")
	if err != nil {
		return nil, err
	}
	var taken []string
	post := func(n int) {
		for range n {
			if name := sender.post("sender", subscription, newName("m")); name != "" {
				taken = append(taken, name)
			}
		}
	}
	post(20)
	read, err := sender.awaitReceipts("sender", subscription, 20)
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	for _, r := range read {
		seen[r.Receipt.Message] = true
	}
	// The sender has read all of them. It deletes the first half, and is not done yet.
	for _, r := range read[:10] {
		sender.remove("sender", subscription, r.No)
	}
	post(20)
	time.Sleep(1500 * time.Millisecond)
	if e.trouble {
		s.end(syscall.SIGTERM)
		if err := s.start(); err != nil {
			return nil, err
		}
		sender = s.newClient()
	}
	for _, r := range read[10:] {
		sender.remove("sender", subscription, r.No)
	}
	sender.readAll("sender", subscription, seen)
	e.note("%d messages taken on, %d receipts read", len(taken), len(seen))
	if lost := missing(taken, seen); len(lost) > 0 {
		return []string{fmt.Sprintf("%d of %d messages that were taken on never showed a receipt: %s", len(lost), len(taken), strings.Join(lost, " "))}, nil
	}
	return nil, nil
}

// subscriptionOfAnother restarts a dispatcher that keeps no trail. Of two senders one makes a new subscription, the other one goes on
// with its old one.
func subscriptionOfAnother(e *caseEnv) ([]string, error) {
	s, err := e.newSite(5*time.Millisecond, false, "")
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	first, second := s.newClient(), s.newClient()
	firstPath, err := first.subscribe("first")
	if err != nil {
		return nil, err
	}
	secondPath, err := second.subscribe("second")
	if err != nil {
		return nil, err
	}
	if e.trouble {
		s.end(syscall.SIGTERM)
		if err := s.start(); err != nil {
			return nil, err
		}
		first, second = s.newClient(), s.newClient()
	}
	// The second sender looks first, and makes a new subscription if its old one is gone.
	if status, _ := second.receipts("second", secondPath); status == 404 {
		if secondPath, err = second.subscribe("second"); err != nil {
			return nil, err
		}
	}
	var taken []string
	for range 10 {
		if name := second.post("second", secondPath, newName("m")); name != "" {
			taken = append(taken, name)
		}
	}
	time.Sleep(time.Second)
	foreign := map[string]bool{}
	first.readAll("first", firstPath, foreign)
	seen := map[string]bool{}
	second.readAll("second", secondPath, seen)
	var broken []string
	if len(foreign) > 0 {
		broken = append(broken, fmt.Sprintf("the first sender, which sent nothing, got %d receipts at its subscription %s", len(foreign), firstPath))
	}
	if lost := missing(taken, seen); len(lost) > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d messages of the second sender never showed it a receipt", len(lost), len(taken)))
	}
	return broken, nil
}

// subscriptionOfADayAgo has a sender use a subscription that is older than the time for which unread receipts are kept. Its receipts are
// fresh. The dispatcher restarts before it reads them.
func subscriptionOfADayAgo(e *caseEnv) ([]string, error) {
	const keep = 20 * time.Second
	s, err := e.newSite(5*time.Millisecond, true, "[answers]\nkeep = 20s\n")
	if err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	sender := s.newClient()
	subscription, err := sender.subscribe("sender")
	if err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	var taken []string
	// The sender uses its subscription all the time.
	for watch := clock.StartStopwatch(); watch.Elapsed() < keep+5*time.Second; time.Sleep(3 * time.Second) {
		if name := sender.post("sender", subscription, newName("m")); name != "" {
			taken = append(taken, name)
		}
		sender.readAll("sender", subscription, seen)
	}
	posted := 0
	for range 10 {
		if name := sender.post("sender", subscription, newName("m")); name != "" {
			taken = append(taken, name)
			posted++
		}
	}
	if _, err := sender.awaitReceipts("sender", subscription, posted); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		s.end(syscall.SIGTERM)
		if err := s.start(); err != nil {
			return nil, err
		}
		sender = s.newClient()
	}
	sender.readAll("sender", subscription, seen)
	if lost := missing(taken, seen); len(lost) > 0 {
		return []string{fmt.Sprintf("%d of %d messages that were taken on never show a receipt; the last %d were answered a second before the restart: %s",
			len(lost), len(taken), posted, strings.Join(lost, " "))}, nil
	}
	return nil, nil
}
