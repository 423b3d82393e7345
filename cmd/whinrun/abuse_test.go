package main

import (
	"fmt"
	"testing"
	"time"

	"whinrun/internal/abuse"
)

// Bounds of the tests with clients that misbehave.
const (
	// abuseTime is how long the clients of one test misbehave.
	abuseTime = 1500 * time.Millisecond
	// answerLimit is how long clients wait for an answer.
	answerLimit = 400 * time.Millisecond
	// nodeMemoryMB is the limit of a node's process.
	nodeMemoryMB = 32
	// serveMemoryMB is the setting memory. It does not count the program itself, programMemoryMB at most.
	serveMemoryMB   = 64
	programMemoryMB = 24
)

// Hundreds of clients stop half way through requests, or send heads of many short fields, or one floods the dispatcher. It must stay
// within its memory, and answer others. The long run is `whinlab abuse`.
func TestClientsThatMisbehave(t *testing.T) {
	binary := buildProgram(t)
	limits := map[abuse.Front]int64{abuse.NodeHTTP1: nodeMemoryMB << 20, abuse.ServeHTTP2: (serveMemoryMB + programMemoryMB) << 20, abuse.ServeAMQP: (serveMemoryMB + programMemoryMB) << 20}
	for front, limit := range limits {
		for _, behaviour := range abuse.Behaviours(front) {
			t.Run(fmt.Sprintf("%s, %s", front, behaviour), func(t *testing.T) {
				connections, memory := abuse.UsualConnections(behaviour), serveMemoryMB
				if front == abuse.NodeHTTP1 {
					memory = nodeMemoryMB
				}
				report, err := abuse.Run(abuse.Options{Behaviour: behaviour, Connections: connections, For: abuseTime,
					Program: abuse.ProgramConfig{Binary: binary, Folder: t.TempDir(), Front: front, MemoryMB: memory, HoldBytesMB: 16}})
				if err != nil {
					t.Fatal(err)
				}
				if report.PeakMemory > limit {
					t.Errorf("%d MB at most are allowed: %v", limit>>20, report)
				}
				flood := connections == 1
				if report.Others.Count() == 0 || flood && (report.Others.Failed > 0 || report.Others.Over(answerLimit) > 0) {
					t.Errorf("others wait: %v", report)
				}
			})
		}
	}
}
