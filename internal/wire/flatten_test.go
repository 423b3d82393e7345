package wire

import (
	"reflect"
	"testing"
)

// TestBothFormsAreEqual checks that nested JSON and path=value lines with the same content give equal settings.
func TestBothFormsAreEqual(t *testing.T) {
	nested := `{"instances":2,"tick":5000,"extra":{"slots":13,"batch-by-kind":[10,1],"routes-apart":[false,true]},
 "limits":{"max-open":313,"most-tries":6},"classes":[{"effect":"guarded","gain":2.0,"target":2500000,"hard-limit":24000000,"window":10000000}],
 "host-types":["a","b"],"report":{"names":["x0","x1"]},"unknown":{"key":7,"none":null,"list":[]},"words":"a b, c"}`
	flat, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	a, err := ParseSettings(flat)
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParseSettings(goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Errorf("nested %+v\nflat %+v", a, b)
	}
	for _, bad := range []string{"", "[]", "7", `{"a":`} {
		if _, err := Flatten([]byte(bad)); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

// FuzzFlatten checks that no input makes Flatten or ParseSettings panic.
func FuzzFlatten(f *testing.F) {
	f.Add([]byte(`{"a":{"b":[1,{"c":"x y"}]}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if flat, err := Flatten(b); err == nil {
			_, _ = ParseSettings(flat)
		}
	})
}
