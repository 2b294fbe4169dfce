package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The longest prefix must win whatever the order of the routes, and the case and port of the host
// must not matter.
func TestMatch(t *testing.T) {
	c := New(Declared{Version: 1, Routes: []Route{
		{Name: "all", Host: "A.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "mid", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:80", "/x/z", "mid"},
		{"A.EXAMPLE", "/x", "all"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/", ""},
	} {
		r, ok := c.Match(test.host, test.path)
		require.Equal(t, test.want != "", ok, test)
		if ok {
			require.Equal(t, test.want, r.Name, test)
		}
	}
}

// Requests are split by weight, and a backend of weight 0 gets none.
func TestPickServiceByWeight(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 10}, {"c", 0}}}
	require.Equal(t, "a", r.PickService(0))
	require.Equal(t, "a", r.PickService(0.89))
	require.Equal(t, "b", r.PickService(0.91))
	require.Equal(t, "b", r.PickService(0.999))
	require.Empty(t, (&Route{}).PickService(0.5))
}
