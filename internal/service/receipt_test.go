package service

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"whinrun/internal/audit"
	"whinrun/internal/config"
	"whinrun/internal/disk"
	"whinrun/internal/logs"
	"whinrun/internal/receipt"
)

// doRequest sends a request on an HTTP/2 connection of its own and returns the response and its body.
func doRequest(t *testing.T, dispatcher *Service, method, path, body string, fields ...string) (*http.Response, []byte) {
	t.Helper()
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	tr := &http.Transport{Protocols: &p}
	defer tr.CloseIdleConnections() // a message with a receipt must survive the end of its connection
	req, err := http.NewRequestWithContext(testContext(t), method, "http://"+dispatcher.Addr().String()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(fields); i += 2 {
		if fields[i] == "Authorization" {
			req.Header.Del(fields[i])
		}
		req.Header.Add(fields[i], fields[i+1])
	}
	res, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return res, b
}

// A message with a receipt subscription gets status 202 when it is accepted (RFC 8030 section 5.1). Its final answer is a signed
// receipt in the subscription until a client deletes it.
func TestReceipts(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		<-release
		if strings.HasPrefix(string(b), "no") {
			w.WriteHeader(500)
			return
		}
		w.WriteHeader(201)
	})
	folder := t.TempDir()
	dispatcher := startService(t, addr, amqpSettings+"[audit]\nfolder = "+folder+"\n[tenant other]\ntoken = others\n[answers]\nqueue-length = 3\n")
	defer dispatcher.Kill()
	res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
	sub := res.Header.Get("Location")
	if res.StatusCode != 201 || !strings.HasPrefix(sub, "/receipts/t/") {
		t.Fatal(res.Status, sub)
	}
	post := func(body, to string, more ...string) *http.Response {
		res, _ := doRequest(t, dispatcher, "POST", "/p/upload", body, append([]string{"TTL", "4", "Push-Receipt", to}, more...)...)
		return res
	}
	async := []string{"Prefer", "wait=5, respond-async"}
	names := map[string]string{}
	for body, want := range map[string]string{"yes": "served", "no": "failed"} {
		res := post(body, sub, append(async, "Idempotency-Key", `"k-`+body+`"`)...)
		if res.StatusCode != 202 || !strings.Contains(res.Header.Get("Link"), sub) {
			t.Fatal(res.Status, res.Header)
		}
		names[res.Header.Get("Whinrun-Message")] = want
	}
	if res, _ := doRequest(t, dispatcher, "GET", sub, ""); res.StatusCode != 204 {
		t.Error("the subscription has a receipt before the final answer:", res.Status)
	}
	for want, res := range map[int]*http.Response{400: post("x", sub), 404: post("x", "/receipts/t/none", async...)} {
		if res.StatusCode != want {
			t.Errorf("%s, want %d", res.Status, want)
		}
	}
	if res := post("x", sub, "Prefer", "respond-async", "Push-Receipt", sub); res.StatusCode != 400 {
		t.Error("a message with two receipt subscriptions was not rejected:", res.Status)
	}
	if res := post("x", sub, async...); res.StatusCode != 202 {
		t.Error(res.Status)
	}
	if res := post("x", sub, async...); res.StatusCode != 503 {
		t.Error("a message was accepted although the subscription is full:", res.Status)
	}
	if res, _ := doRequest(t, dispatcher, "GET", sub, "", "Authorization", "Bearer others"); res.StatusCode != 403 {
		t.Error("the receipts of another tenant were returned")
	}
	close(release)
	keys, err := audit.PublicKeys(folder)
	if err != nil {
		t.Fatal(err)
	}
	var got []struct {
		No      uint64
		Receipt receipt.Receipt
		Signed  string
	}
	for len(got) < 3 {
		if _, b := doRequest(t, dispatcher, "GET", sub, ""); len(b) > 0 {
			if err := json.Unmarshal(b, &got); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Millisecond)
	}
	for _, g := range got {
		signed, err := receipt.Verify(g.Signed, keys)
		if err != nil || *signed != g.Receipt {
			t.Errorf("%+v, %+v, %v", signed, g.Receipt, err)
		}
		if want, ok := names[g.Receipt.Message]; ok && (g.Receipt.Answer != want || !strings.HasPrefix(g.Receipt.MessageID, "k-")) {
			t.Errorf("%+v, want %s", g.Receipt, want)
		}
		if res, _ := doRequest(t, dispatcher, "DELETE", sub+"/"+formatNumber(g.No), ""); res.StatusCode != 204 {
			t.Error(res.Status)
		}
	}
	if res, _ := doRequest(t, dispatcher, "GET", sub, ""); res.StatusCode != 204 {
		t.Error("receipts remain after they were deleted:", res.Status)
	}
	_, ch := dialAMQP(t, dispatcher)
	queue, err := ch.QueueDeclare("", false, false, true, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	answers, err := ch.Consume(queue.Name, "", true, false, false, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := ch.PublishWithContext(testContext(t), "uploads", "p", false, false, amqp.Publishing{Body: []byte("yes"), ReplyTo: queue.Name}); err != nil {
		t.Fatal(err)
	}
	a := <-answers
	signed, _ := a.Headers["x-receipt"].(string)
	if r, err := receipt.Verify(signed, keys); err != nil || r.Answer != "served" || r.Message != a.MessageId {
		t.Errorf("receipt over AMQP: %+v, %v", r, err)
	}
}

// formatNumber formats a receipt number.
func formatNumber(n uint64) string { b, _ := json.Marshal(n); return string(b) }

// While the disk of the audit trail is full, new messages are rejected and accepted ones are still answered. Messages are
// accepted again when the disk has space.
func TestFullDisk(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case arrived <- struct{}{}:
		default:
		}
		<-release
		w.WriteHeader(201)
	})
	text := "[dispatcher]\nlisten = 127.0.0.1:0\n" + strings.Replace(baseSettings, "ADDRESS", addr, 1) + "[audit]\nfolder = " + t.TempDir() + "\n"
	cfg, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	fs := disk.NewMemory()
	cfg.Audit.FS, cfg.Audit.Policy.RetryEvery = fs, 10*time.Millisecond
	log, _ := logs.New(io.Discard, "info", 100)
	dispatcher, err := Start(cfg, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer dispatcher.Kill()
	post := func() int {
		res, _ := doRequest(t, dispatcher, "POST", "/p/status", "x", "TTL", "4")
		return res.StatusCode
	}
	held := make(chan int, 1)
	go func() { held <- post() }()
	<-arrived
	var full atomic.Bool
	full.Store(true)
	fs.SetFail(func(op, _ string) error {
		if op == "write" && full.Load() {
			return errors.New("no space left on device")
		}
		return nil
	})
	dispatcher.auditLog.Enqueue(&audit.Record{Kind: audit.DispatcherStarted})
	for dispatcher.auditLog.Failing() == nil {
		time.Sleep(time.Millisecond)
	}
	for post() != 503 { // admission closes a moment after the failure is known
		t.Log("accepted")
	}
	close(release)
	if status := <-held; status != 201 {
		t.Error("the accepted message was not answered:", status)
	}
	full.Store(false)
	for deadline := time.Now().Add(10 * time.Second); post() != 201; {
		if time.Now().After(deadline) {
			t.Fatal("messages are still rejected although the disk has space")
		}
	}
}

// After a crash, receipts that were not fetched are restored, and fetched ones are not. A message without a final answer gets the
// answer failed, because it may have been sent.
func TestReceiptsAfterACrash(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, r *http.Request) {
		if b, _ := io.ReadAll(r.Body); string(b) == "hang" {
			<-release
		}
		w.WriteHeader(201)
	})
	folder := t.TempDir()
	more := "[audit]\nfolder = " + folder + "\n"
	dispatcher := startService(t, addr, more)
	res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
	sub := res.Header.Get("Location")
	var names []string
	for _, body := range []string{"one", "two", "hang"} {
		res, _ := doRequest(t, dispatcher, "POST", "/p/upload", body, "TTL", "4", "Prefer", "respond-async", "Push-Receipt", sub)
		names = append(names, res.Header.Get("Whinrun-Message"))
	}
	read := func(want int) (all []struct {
		No      uint64
		Receipt receipt.Receipt
	}) {
		for len(all) != want {
			if _, b := doRequest(t, dispatcher, "GET", sub, ""); len(b) > 0 {
				_ = json.Unmarshal(b, &all)
			}
		}
		return all
	}
	first := read(2)[0]
	doRequest(t, dispatcher, "DELETE", sub+"/"+formatNumber(first.No), "")
	for owed := 3; owed != 2; time.Sleep(time.Millisecond) { // wait until the trail on disk has the fetched receipt
		store, _, err := audit.OpenReader(folder)
		if err != nil {
			t.Fatal(err)
		}
		if receipts, err := audit.ReadReceipts(store, time.Time{}); err == nil {
			owed = len(receipts.Unfetched)
		}
	}
	dispatcher.Kill()
	dispatcher = startService(t, addr, more)
	defer dispatcher.Kill()
	got := map[string]string{}
	for _, e := range read(2) {
		got[e.Receipt.Message] = e.Receipt.Answer
	}
	left := names[0]
	if first.Receipt.Message == left {
		left = names[1]
	}
	if got[left] != "served" || got[names[2]] != "failed" {
		t.Errorf("%v, want %s served and %s failed", got, left, names[2])
	}
}
