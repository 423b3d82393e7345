package control_test

import (
	"fmt"

	"whinrun/control"
)

// A Dispatcher receives events and returns actions.
func Example() {
	d, err := control.New(control.Settings{
		Instances: 1, Tick: 5 * control.Millisecond, Slots: 4, MaxOpen: 100, MaxAttempts: 3, ReportRemainingIndex: -1, ReportLimitIndex: -1,
		Classes: []control.Class{{Name: "status", Target: control.Second, Deadline: 10 * control.Second, Value: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := d.Step(0, []control.Event{
		{Kind: control.ListUpdate, ListKind: control.ListFull, Entries: []control.Entry{{Endpoint: 42, Dest: 7, Health: control.Ready}}},
		{Kind: control.Arrival, Message: 1, Dest: 7, TimeLeft: 10 * control.Second},
	}, nil)
	for _, a := range actions {
		if a.Kind == control.Send {
			fmt.Println("send message", a.Message, "to endpoint", a.Endpoint)
		}
	}
	// Output: send message 1 to endpoint 42
}
