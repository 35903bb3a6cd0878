package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
)

func table() *routing.Table {
	share := func(service string) []routing.Share { return []routing.Share{{Service: service, Weight: 1}} }
	return routing.New(routing.Config{Version: 7, Routes: []routing.Route{
		{Name: "all", Host: "shop.example", Prefix: "/", Shares: share("front")},
		{Name: "orders", Host: "shop.example", Prefix: "/orders/", Shares: share("orders")},
		{Name: "old", Host: "shop.example", Prefix: "/orders/old/", Shares: share("archive"), Repeatable: true},
		{Name: "other", Host: "farm.example", Prefix: "/orders/", Shares: share("farm")},
	}, Services: []routing.Service{{Name: "front", HealthPath: "/health"}}})
}

func TestRouteAllowsOnlyTheRegionsItNames(t *testing.T) {
	for name, c := range map[string]struct {
		regions []string
		region  string
		known   bool
		allowed bool
	}{
		"route without regions allows a known one":    {nil, "north", true, true},
		"route without regions allows an unknown one": {nil, "", false, true},
		"named region":     {[]string{"south", "north"}, "north", true, true},
		"region not named": {[]string{"south"}, "north", true, false},
		"unknown region":   {[]string{"south"}, "", false, false},
		"unknown region with the name of an allowed one": {[]string{"south"}, "south", false, false},
		"empty list allows none":                         {[]string{}, "north", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			route := routing.Route{Regions: c.regions}
			g.Expect(route.Allows(c.region, c.known)).To(Equal(c.allowed))
		})
	}
}

func TestTableListsRegionsOfRoutesSortedAndUnique(t *testing.T) {
	g := NewWithT(t)
	g.Expect(table().Regions()).To(BeEmpty())
	g.Expect(routing.New(routing.Config{Routes: []routing.Route{
		{Host: "a", Regions: []string{"south", "north"}}, {Host: "b"}, {Host: "c", Regions: []string{"north"}},
	}}).Regions()).To(Equal([]string{"north", "south"}))
}

func TestLongestMatchingPrefixOfTheHostIsSelected(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/", "all"},
		{"shop.example", "/orders", "all"},
		{"shop.example", "/orders/7", "orders"},
		{"shop.example", "/orders/old/7", "old"},
		{"SHOP.example:8080", "/orders/7", "orders"},
		{"farm.example", "/orders/7", "other"},
		{"farm.example", "/", ""},
		{"nobody.example", "/orders/7", ""},
		{"[::1]", "/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			g := NewWithT(t)
			route, ok := table().Match(c.host, c.path)
			g.Expect(ok).To(Equal(c.want != ""))
			if ok {
				g.Expect(route.Name).To(Equal(c.want))
			}
		})
	}
}

func TestPickDistributesRequestsByWeight(t *testing.T) {
	g := NewWithT(t)
	route := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}}
	count := map[string]int{}
	const draws = 1000
	for i := range draws {
		count[route.Pick(float64(i)/draws)]++
	}
	g.Expect(count).To(Equal(map[string]int{"a": 900, "b": 100}))
	g.Expect((&routing.Route{}).Pick(0.5)).To(BeEmpty())
	g.Expect(route.Pick(1)).NotTo(BeEmpty())
}

func ExampleTable_Match() {
	table := routing.New(routing.Config{Version: 7, Routes: []routing.Route{
		{Name: "all", Host: "shop.example", Prefix: "/"},
		{Name: "orders", Host: "shop.example", Prefix: "/orders/"},
	}})
	route, ok := table.Match("shop.example:8080", "/orders/7")
	fmt.Println(route.Name, ok)
	// Output: orders true
}
