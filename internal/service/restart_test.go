package service

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
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
