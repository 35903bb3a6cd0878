package workspace_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/workspace"
)

func TestKeyAcceptsOnlyOneWellFormedHeader(t *testing.T) {
	long := strings.Repeat("k", 8<<10)
	for name, c := range map[string]struct {
		values []string
		key    string
		ok     bool
	}{
		"well-formed":                  {[]string{"Token k-1"}, "k-1", true},
		"scheme in another case":       {[]string{"tOKEN k-1"}, "k-1", true},
		"surrounding whitespace":       {[]string{" Token \t k-1 \t"}, "k-1", true},
		"key of 8 kB":                  {[]string{"Token " + long}, long, true},
		"no header":                    {nil, "", false},
		"empty header":                 {[]string{""}, "", false},
		"no key":                       {[]string{"Token"}, "", false},
		"only spaces after the scheme": {[]string{"Token   "}, "", false},
		"another scheme":               {[]string{"Bearer k-1"}, "", false},
		"no scheme":                    {[]string{"k-1"}, "", false},
		"no space after the scheme":    {[]string{"Tokenk-1"}, "", false},
		"two headers":                  {[]string{"Token k-1", "Token k-2"}, "", false},
		"two identical headers":        {[]string{"Token k-1", "Token k-1"}, "", false},
		"two keys":                     {[]string{"Token k-1 k-2"}, "", false},
		"two credentials in one line":  {[]string{"Token k-1, Token k-2"}, "", false},
		"tab after the scheme":         {[]string{"Token\tk-1"}, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			key, ok := workspace.Key(c.values, "Token")
			g.Expect(ok).To(Equal(c.ok))
			g.Expect(key).To(Equal(c.key))
		})
	}
}

func FuzzKey(f *testing.F) {
	for _, seed := range []string{"Token k-1", "token  k", "Token", "", "Token a,b", "\x00 k", "Token \xff"} {
		f.Add(seed)
	}
	directory := workspace.New([]workspace.Config{{Name: "harbour", Keys: []string{"k-1"}}})
	f.Fuzz(func(t *testing.T, value string) {
		key, ok := workspace.Key([]string{value}, "Token")
		if ok != (key != "") || strings.ContainsAny(key, " \t,") || !strings.Contains(value, key) {
			t.Fatalf("%q gives the key %q, %v", value, key, ok)
		}
		if _, known := directory.Find(key); known && key != "k-1" {
			t.Fatalf("%q identifies a workspace", key)
		}
	})
}

func TestFindReturnsOnlyWorkspaceOfUniqueKey(t *testing.T) {
	g := NewWithT(t)
	urgent := 0
	directory := workspace.New([]workspace.Config{
		{Name: "harbour", Keys: []string{"h-1", "h-2", "h-1", "shared"}, Priority: &urgent},
		{Name: "mill", Keys: []string{"m-1", "shared", ""}},
		{Name: "without keys"},
	})
	for key, name := range map[string]string{"h-1": "harbour", "h-2": "harbour", "m-1": "mill"} {
		found, ok := directory.Find(key)
		g.Expect(ok).To(BeTrue(), key)
		g.Expect(found.Name()).To(Equal(name))
	}
	for _, key := range []string{"", "h-3", "H-1", "h-1 ", "shared", "without keys", strings.Repeat("h", 8<<10)} {
		_, ok := directory.Find(key)
		g.Expect(ok).To(BeFalse(), key)
	}
	g.Expect(directory.Conflicting()).To(Equal([]string{"harbour", "mill"}))
	harbour, _ := directory.Find("h-1")
	mill, _ := directory.Find("m-1")
	g.Expect(harbour.Priority(2)).To(Equal(0))
	g.Expect(mill.Priority(2)).To(Equal(2))
	_, ok := (*workspace.Directory)(nil).Find("h-1")
	g.Expect(ok).To(BeFalse())
}

// generateConfigs returns the configurations of many workspaces with many keys each.
func generateConfigs(workspaces, keys int) []workspace.Config {
	out := make([]workspace.Config, workspaces)
	for i := range out {
		out[i].Name = fmt.Sprint("workspace-", i)
		for j := range keys {
			out[i].Keys = append(out[i].Keys, fmt.Sprintf("key-%08d-%08d", i, j))
		}
	}
	return out
}

// A look-up among 20,000 keys takes 0.2 us under other load and allocates nothing.
func BenchmarkFind(b *testing.B) {
	directory := workspace.New(generateConfigs(200, 100))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := directory.Find("key-00000123-00000045"); !ok {
			b.Fatal("the key is not known")
		}
	}
}

func TestFindDoesNotAllocate(t *testing.T) {
	directory := workspace.New(generateConfigs(200, 100))
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { directory.Find("key-00000123-00000045") })).To(BeZero())
}

// A directory of 20,000 keys is built within 14 ms under other load, in 3.2 MB.
func BenchmarkNew(b *testing.B) {
	configs := generateConfigs(200, 100)
	b.ReportAllocs()
	for b.Loop() {
		workspace.New(configs)
	}
}

func TestBusiestListsLargestAndSumsOthers(t *testing.T) {
	g := NewWithT(t)
	counter := workspace.NewCounter()
	for i := range 12_000 {
		counter.Add(fmt.Sprint("workspace-", i), workspace.Served)
	}
	for range 5 {
		counter.Add("workspace-7", workspace.OverQuota)
		counter.Add("workspace-8", workspace.Served)
	}
	counter.Add("workspace-8", workspace.Failed)
	counts := counter.Busiest(2)
	g.Expect(counts).To(HaveLen(3))
	g.Expect(counts[0].Workspace).To(Equal("workspace-8"))
	g.Expect(counts[0].Ended(workspace.Served)).To(Equal(uint64(6)))
	g.Expect(counts[0].Ended(workspace.Failed)).To(Equal(uint64(1)))
	g.Expect(counts[1].Ended(workspace.OverQuota)).To(Equal(uint64(5)))
	g.Expect(counts[2].Workspace).To(BeEmpty())
	g.Expect(counts[2].Ended(workspace.Served)).To(Equal(uint64(11_998)))
}
