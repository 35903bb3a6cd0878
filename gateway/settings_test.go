package gateway_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/gateway"
)

func settingsDocument(change func(map[string]any)) []byte {
	d := map[string]any{
		"id": "gateway-1", "hall": "hall-a", "listen": "10.0.0.1:80", "ready_listen": "10.0.0.1:81",
		"peer_listen": "10.0.0.1:82", "store": "10.0.0.9:83", "apply_within_s": 2, "watch_trust_s": 3,
		"stop_within_s": 6, "retry_ratio": 0.2, "a_field_of_a_later_version": true,
	}
	change(d)
	raw, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return raw
}

func TestParseSettingsAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := gateway.ParseSettings(settingsDocument(func(d map[string]any) { delete(d, "retry_ratio") }))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.RetryRatio).To(Equal(0.1))
	g.Expect(s.ApplyWithin).To(Equal(2.0))
}

func TestParseSettingsValidatesRegions(t *testing.T) {
	for name, c := range map[string]struct {
		region  any
		regions any
		valid   bool
	}{
		"neither":                   {nil, nil, true},
		"one region for all halls":  {"north", nil, true},
		"both":                      {"north", map[string]string{"hall-a": "north", "hall-b": "south"}, true},
		"own region from the list":  {"", map[string]string{"hall-a": "north", "hall-b": "south"}, true},
		"own hall not listed":       {"north", map[string]string{"hall-b": "south"}, true},
		"own region unknown":        {"", map[string]string{"hall-b": "south"}, false},
		"a hall without its region": {"north", map[string]string{"hall-b": ""}, false},
		"a region without its hall": {"north", map[string]string{"": "south"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := gateway.ParseSettings(settingsDocument(func(d map[string]any) { d["region"], d["regions"] = c.region, c.regions }))
			g.Expect(err == nil).To(Equal(c.valid), "%v", err)
		})
	}
}

func TestInvalidSettingsAreReportedWithFieldAndExpectedValue(t *testing.T) {
	for field, c := range map[string]struct {
		value any
		want  string
	}{
		"listen":            {"here:80", "settings field listen is \"here:80\"; give an IP number with a port"},
		"store":             {"", "settings field store is \"\"; give an IP number with a port"},
		"apply_within_s":    {0, "settings field apply_within_s is 0; give seconds above 0"},
		"watch_trust_s":     {-1, "settings field watch_trust_s is -1; give seconds above 0"},
		"retry_ratio":       {-0.1, "settings field retry_ratio is -0.1; give a share of 0 or more"},
		"evacuate_within_s": {-1, "settings field evacuate_within_s is -1; give seconds above 0, or leave it out where no hall is evacuated"},
		"log_level":         {"loud", "settings field log_level is \"loud\"; give debug, info, warn or error"},
		"memory_mb":         {-1, "settings field memory_mb is -1; give megabytes, or 0 for no bound"},
		"hall":              {"", "settings fields id (\"gateway-1\") and hall (\"\") must both be given"},
		"region":            {"south", "settings field region is \"south\", but regions maps hall \"hall-a\" to \"north\"; give the same"},
		"regions":           {map[string]string{"hall-b": "north"}, "settings field regions does not name hall \"hall-a\"; add it, or give its region"},
		"id":                {7, "cannot unmarshal number into Go struct field Settings.id"},
	} {
		t.Run(field, func(t *testing.T) {
			g := NewWithT(t)
			_, err := gateway.ParseSettings(settingsDocument(func(d map[string]any) {
				d["regions"] = map[string]string{"hall-a": "north"}
				d[field] = c.value
			}))
			g.Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

func TestNewReportsTheAddressThatCannotBeUsed(t *testing.T) {
	g := NewWithT(t)
	s, err := gateway.ParseSettings(settingsDocument(func(d map[string]any) {
		d["listen"], d["ready_listen"], d["peer_listen"] = "127.0.0.1:0", "127.0.0.1:0", "192.0.2.1:1"
	}))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = gateway.New(s, gateway.Options{})
	g.Expect(err).To(MatchError(ContainSubstring("192.0.2.1:1 of gateway gateway-1 cannot be used")))
}

func FuzzParseSettings(f *testing.F) {
	f.Add(settingsDocument(func(map[string]any) {}))
	f.Add([]byte(`{"listen":null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := gateway.ParseSettings(raw); err == nil && s.Check() != nil {
			t.Fatal("accepted settings that do not pass their own check")
		}
	})
}
