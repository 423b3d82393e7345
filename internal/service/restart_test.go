package service

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"whinrun/internal/receipt"
)

// restart ends a dispatcher, in order or as a crash does, and starts another one with the same settings.
func restart(t *testing.T, dispatcher *Service, crash bool, partnerAddr, settings string) *Service {
	t.Helper()
	if crash {
		dispatcher.Kill()
	} else {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		dispatcher.Stop(ctx)
	}
	return startService(t, partnerAddr, settings)
}

// forEachRestart runs a test for restarts in order and behind crashes, with and without a trail. The settings have AMQP.
func forEachRestart(t *testing.T, test func(t *testing.T, settings string, audit, crash bool)) {
	for _, audit := range []bool{false, true} {
		for _, crash := range []bool{false, true} {
			t.Run(fmt.Sprintf("audit %v, crash %v", audit, crash), func(t *testing.T) {
				settings := amqpSettings
				if audit {
					settings += "[audit]\nfolder = " + t.TempDir() + "\n"
				}
				test(t, settings, audit, crash)
			})
		}
	}
}

// A name that the dispatcher gave to one program went to another one behind a restart, which read and deleted the receipts of the first
// (review case 10). Names are held for longer than a process lives, also those of queues that were removed.
func TestNoNameIsGivenTwice(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
	forEachRestart(t, func(t *testing.T, settings string, audit, crash bool) {
		given := map[string]string{}
		give := func(name, to string) {
			if other := given[name]; name == "" || other != "" {
				t.Errorf("%q is given to %s, and was to %q", name, to, other)
			}
			given[name] = to
		}
		dispatcher := startService(t, addr, settings)
		defer func() { dispatcher.Kill() }()
		for process := range 3 {
			held := strings.Join(sortedNames(given), " ")
			for i := range 3 {
				res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
				give(strings.TrimPrefix(res.Header.Get("Location"), "/receipts/t/"), fmt.Sprintf("subscriber %d of process %d", i, process))
				connection, channel := dialAMQP(t, dispatcher)
				queue, err := channel.QueueDeclare("", false, false, i == 0, false, nil)
				if err != nil {
					t.Fatal(err)
				}
				give(queue.Name, fmt.Sprintf("program %d of process %d", i, process))
				_ = connection.Close()
				// Queues without a reader and answers are removed.
				dispatcher.mailboxes.Lock()
				dispatcher.mailboxes.Expire(dispatcher.now() + 24*time.Hour)
				dispatcher.mailboxes.Unlock()
			}
			for _, name := range strings.Fields(held) {
				_, channel := dialAMQP(t, dispatcher)
				if _, err := channel.QueueDeclarePassive(name, false, false, false, false, nil); err == nil && !audit {
					t.Errorf("process %d has the queue %s of %s", process, name, given[name])
				}
			}
			dispatcher = restart(t, dispatcher, crash, addr, settings)
		}
	})
}

// sortedNames returns the keys of a map in order.
func sortedNames(given map[string]string) []string { return slices.Sorted(maps.Keys(given)) }

// numberedReceipt is a receipt as a subscription lists it.
type numberedReceipt struct {
	No      uint64
	Receipt receipt.Receipt
}

// listReceipts returns the receipts of a subscription, and the status of the response.
func listReceipts(t *testing.T, dispatcher *Service, subscription string) (status int, all []numberedReceipt) {
	t.Helper()
	res, body := doRequest(t, dispatcher, "GET", subscription, "")
	if len(body) > 0 && res.StatusCode == 200 {
		if err := json.Unmarshal(body, &all); err != nil {
			t.Fatal(err)
		}
	}
	return res.StatusCode, all
}

// awaitReceipts waits until a subscription has this number of receipts.
func awaitReceipts(t *testing.T, dispatcher *Service, subscription string, n int) []numberedReceipt {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, all := listReceipts(t, dispatcher, subscription); len(all) == n {
			return all
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s does not get %d receipts", subscription, n)
		}
	}
}

// postForReceipts posts messages whose receipts go to a subscription, and returns their names.
func postForReceipts(t *testing.T, dispatcher *Service, subscription string, n int) (names []string) {
	t.Helper()
	for range n {
		res, _ := doRequest(t, dispatcher, "POST", "/p/upload", "x", "TTL", "4", "Prefer", "respond-async", "Push-Receipt", subscription)
		if res.StatusCode != 202 {
			t.Fatalf("status %d", res.StatusCode)
		}
		names = append(names, res.Header.Get("Whinrun-Message"))
	}
	return names
}

// onRecord waits until all that a dispatcher has done is in its trail on disk.
func onRecord(t *testing.T, dispatcher *Service) {
	t.Helper()
	if err := dispatcher.auditLog.Flush(5 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// Receipts got new numbers at a restart, so that a reader who deleted by the old ones removed receipts that nobody had read (review case
// 9). A receipt keeps its number, and a number that is not on record is not given again, also behind a second restart.
func TestReceiptNumbersOutliveTheProcess(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
	forEachRestart(t, func(t *testing.T, settings string, audit, crash bool) {
		if !audit {
			return // Without a trail no subscription outlives its process.
		}
		dispatcher := startService(t, addr, settings)
		defer func() { dispatcher.Kill() }()
		res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
		subscription := res.Header.Get("Location")
		numbers := map[string]uint64{}
		given := map[uint64]string{}
		taken := 0
		for process := range 3 {
			names := postForReceipts(t, dispatcher, subscription, 6)
			all := awaitReceipts(t, dispatcher, subscription, len(numbers)-taken+len(names))
			for _, r := range all {
				no, known := numbers[r.Receipt.Message]
				if known && no != r.No {
					t.Errorf("process %d: the receipt of %s has number %d, and had %d", process, r.Receipt.Message, r.No, no)
				}
				if other := given[r.No]; other != "" && other != r.Receipt.Message {
					t.Errorf("process %d: number %d is that of %s, and was that of %s", process, r.No, r.Receipt.Message, other)
				}
				numbers[r.Receipt.Message], given[r.No] = r.No, r.Receipt.Message
			}
			// Two are deleted in this process, the others by the numbers that it gave in the next one.
			for _, r := range all[:2] {
				doRequest(t, dispatcher, "DELETE", subscription+"/"+formatNumber(r.No), "")
				taken++
			}
			onRecord(t, dispatcher)
			// What follows may be lost in a crash, but its numbers are known to the reader.
			lost := postForReceipts(t, dispatcher, subscription, 3)
			for _, r := range awaitReceipts(t, dispatcher, subscription, len(numbers)-taken+len(lost)) {
				given[r.No] = r.Receipt.Message
			}
			dispatcher = restart(t, dispatcher, crash, addr, settings)
			_, restored := listReceipts(t, dispatcher, subscription)
			for _, r := range restored {
				if given[r.No] != r.Receipt.Message {
					t.Errorf("process %d: number %d is that of %s, and was that of %q", process+1, r.No, r.Receipt.Message, given[r.No])
				}
				numbers[r.Receipt.Message] = r.No
			}
			taken = len(numbers) - len(restored)
		}
	})
}

// Without a trail a queue of AMQP ends with the process, and a program declares it anew. A reader who deletes by the numbers of before must
// not remove the new answers.
func TestNumbersOfAQueueDeclaredAnew(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
	forEachRestart(t, func(t *testing.T, settings string, _, crash bool) {
		dispatcher := startService(t, addr, settings)
		defer func() { dispatcher.Kill() }()
		var held []numberedReceipt
		for process := range 3 {
			_, channel := dialAMQP(t, dispatcher)
			if _, err := channel.QueueDeclare("answers", false, false, false, false, nil); err != nil {
				t.Fatal(err)
			}
			for range 5 {
				if err := channel.PublishWithContext(testContext(t), "uploads", "p", true, false, amqp.Publishing{ReplyTo: "answers", Body: []byte("x")}); err != nil {
					t.Fatal(err)
				}
			}
			all := awaitReceipts(t, dispatcher, "/receipts/t/answers", 5)
			for _, r := range held {
				if res, _ := doRequest(t, dispatcher, "DELETE", "/receipts/t/answers/"+formatNumber(r.No), ""); res.StatusCode != 404 {
					t.Errorf("process %d: number %d of an earlier process is deleted with status %d", process, r.No, res.StatusCode)
				}
			}
			if len(awaitReceipts(t, dispatcher, "/receipts/t/answers", 5)) == 5 {
				held = append(held, all...)
			}
			dispatcher = restart(t, dispatcher, crash, addr, settings)
		}
	})
}

// A subscription that is older than the time for which answers are kept was not restored, and its fresh receipts were lost with it (review
// case 8).
func TestOldSubscriptionKeepsItsFreshReceipts(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
	settings := "[audit]\nfolder = " + t.TempDir() + "\n[answers]\nkeep = 1s\n"
	dispatcher := startService(t, addr, settings)
	defer func() { dispatcher.Kill() }()
	res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
	subscription := res.Header.Get("Location")
	time.Sleep(1100 * time.Millisecond)
	for range 2 {
		dispatcher = restart(t, dispatcher, false, addr, settings)
		if status, _ := listReceipts(t, dispatcher, subscription); status != 204 {
			t.Errorf("status %d of an empty subscription", status)
		}
		names := postForReceipts(t, dispatcher, subscription, 2)
		awaitReceipts(t, dispatcher, subscription, 2)
		onRecord(t, dispatcher)
		dispatcher = restart(t, dispatcher, true, addr, settings)
		_, all := listReceipts(t, dispatcher, subscription)
		if len(all) != 2 || all[0].Receipt.Message != names[0] || all[1].Receipt.Message != names[1] {
			t.Errorf("receipts %+v, want those of %v", all, names)
		}
		for _, r := range all {
			doRequest(t, dispatcher, "DELETE", subscription+"/"+formatNumber(r.No), "")
		}
	}
}

// Subscriptions that had been removed were restored as well, the oldest first, so that one in use found no place any more and its receipts
// were lost.
func TestRemovedSubscriptionsTakeNoPlace(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
	settings := amqpSettings + "[audit]\nfolder = " + t.TempDir() + "\n[answers]\nqueues = 3\n"
	dispatcher := startService(t, addr, settings)
	defer func() { dispatcher.Kill() }()
	var removed []string
	for i := range 6 {
		res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
		path := res.Header.Get("Location")
		removed = append(removed, path)
		if i%2 == 0 { // A program deletes its queue.
			postForReceipts(t, dispatcher, path, 1)
			awaitReceipts(t, dispatcher, path, 1)
			_, channel := dialAMQP(t, dispatcher)
			if _, err := channel.QueueDelete(strings.TrimPrefix(path, "/receipts/t/"), false, false, false); err != nil {
				t.Fatal(err)
			}
			continue
		}
		dispatcher.mailboxes.Lock()
		dispatcher.mailboxes.Expire(dispatcher.now() + 24*time.Hour)
		dispatcher.mailboxes.Unlock()
	}
	var inUse []string
	for range 3 {
		res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
		inUse = append(inUse, res.Header.Get("Location"))
		postForReceipts(t, dispatcher, res.Header.Get("Location"), 2)
	}
	for _, path := range inUse {
		awaitReceipts(t, dispatcher, path, 2)
	}
	onRecord(t, dispatcher)
	for range 2 {
		dispatcher = restart(t, dispatcher, true, addr, settings)
		for _, path := range inUse {
			if status, all := listReceipts(t, dispatcher, path); status != 200 || len(all) != 2 {
				t.Errorf("status %d, %d receipts of a subscription in use", status, len(all))
			}
		}
		for _, path := range removed {
			if status, _ := listReceipts(t, dispatcher, path); status != 404 {
				t.Errorf("status %d of a subscription that was removed", status)
			}
		}
	}
}

// Messages of the last 20 ms before a crash had their 202 and never a receipt, as their acceptance was not on record. Each message with a 202
// has a receipt behind any crash.
func TestReceiptOfEveryAcceptedMessageBehindACrash(t *testing.T) {
	addr, _ := startHTTP2Partner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) })
	settings := "[audit]\nfolder = " + t.TempDir() + "\n"
	dispatcher := startService(t, addr, settings)
	defer func() { dispatcher.Kill() }()
	res, _ := doRequest(t, dispatcher, "POST", "/receipts/t", "")
	subscription := res.Header.Get("Location")
	onRecord(t, dispatcher)
	accepted := map[string]bool{}
	var mu sync.Mutex
	for range 3 {
		var clients sync.WaitGroup
		ctx, stop := context.WithCancel(context.Background())
		for range 8 {
			transport := newHTTP2Transport()
			clients.Go(func() {
				defer transport.CloseIdleConnections()
				for ctx.Err() == nil {
					name, err := postForReceipt(ctx, transport, dispatcher.Addr().String(), subscription)
					if err == nil && name != "" {
						mu.Lock()
						accepted[name] = true
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		dispatcher.Kill()
		stop()
		clients.Wait()
		dispatcher = startService(t, addr, settings)
	}
	seen := map[string]bool{}
	for {
		status, all := listReceipts(t, dispatcher, subscription)
		if status != 200 {
			break
		}
		for _, r := range all {
			seen[r.Receipt.Message] = true
			dispatcher.mailboxes.Lock()
			_, err := dispatcher.mailboxes.Take(dispatcher.now(), 0, strings.TrimPrefix(subscription, "/receipts/t/"), r.No)
			dispatcher.mailboxes.Unlock()
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	missing := 0
	for name := range accepted {
		if !seen[name] {
			missing++
		}
	}
	if missing > 0 || len(accepted) < 50 {
		t.Errorf("%d of %d messages with a 202 have no receipt", missing, len(accepted))
	}
}

// newHTTP2Transport returns a transport for clients of the push front.
func newHTTP2Transport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: &protocols}
}

// postForReceipt posts a message whose receipt goes to a subscription. It returns the message's name if that has a 202.
func postForReceipt(ctx context.Context, transport *http.Transport, addr, subscription string) (name string, err error) {
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/p/status", strings.NewReader("x"))
	if err != nil {
		return "", err
	}
	for field, value := range map[string]string{"Authorization": "Bearer secret", "TTL": "4", "Prefer": "respond-async", "Push-Receipt": subscription} {
		request.Header.Set(field, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	_ = response.Body.Close()
	if response.StatusCode != 202 {
		return "", nil
	}
	return response.Header.Get("Whinrun-Message"), nil
}
