package load_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sprucecrank/sprucecrank/core/gateway/load"
)

const usual = 100 * time.Millisecond

func report(running, waiting, slots int, slowness float64) load.Report {
	return load.New(running, waiting, slots, slowness, time.Time{})
}

func TestParseReadsAllFieldsAndRejectsMalformedReports(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(7, 0)
	r, err := load.Parse("3, 1,8,500", now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r).To(Equal(load.New(3, 1, 8, 5, now)))
	r, err = load.Parse("0,0,3", now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Slowness()).To(Equal(1.0))
	for _, bad := range []string{"", "1,2", "1,2,3,4,5", "a,0,3", "-1,0,3", "1,,3", "0,0,3728190345,100", "0,0,1048577", "1048577,0,3", "0,1048577,3", "0,0,3,1048577"} {
		_, err := load.Parse(bad, now)
		g.Expect(err).To(MatchError(load.ErrReport), bad)
	}
}

func TestPredictRanksFasterTargetFirst(t *testing.T) {
	for _, c := range []struct {
		name          string
		better, worse load.Report
		cost          float64 // of the worse target
	}{
		{"the emptier target", report(0, 0, 3, 1), report(1, 0, 3, 1), 1},
		{"the target of usual speed, though fuller", report(1, 0, 3, 1), report(0, 0, 3, 5), 1},
		{"the target with more than its last slot free", report(1, 0, 3, 1), report(2, 0, 3, 1), 1.7},
		{"the target with a free slot", report(2, 0, 3, 1), report(3, 0, 3, 1), 1.7},
		{"the target with the shorter queue", report(3, 1, 3, 1), report(3, 2, 3, 1), 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.better.Predict(usual, 1)).To(BeNumerically("<", c.worse.Predict(usual, c.cost)))
		})
	}
}

// Guards against a prediction that overflows and makes the slowest target look the fastest.
func TestPredictionOfTheHighestNumbersIsNotNegative(t *testing.T) {
	g := NewWithT(t)
	r, err := load.Parse("1048576,1048576,1,1048576", time.Time{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Predict(time.Hour, 8)).To(BeNumerically(">", time.Hour))
}

func TestTargetWithOneSlotHasNoLastSlot(t *testing.T) {
	g := NewWithT(t)
	g.Expect(report(0, 0, 1, 1).LastSlot()).To(BeFalse())
	g.Expect(report(2, 0, 3, 1).LastSlot()).To(BeTrue())
	g.Expect(report(0, 0, 1, 1).Predict(usual, 1)).To(Equal(usual))
}

func FuzzParse(f *testing.F) {
	f.Add("3,0,8,100")
	f.Add(",,,")
	f.Add("9999999999999999999,0,1")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := load.Parse(text, time.Unix(0, 0))
		if err == nil && (r.Slots() < 1 || r.Running() < 0 || r.Waiting() < 0 || r.Slowness() <= 0 || r.Predict(usual, 1) < 0 && r.Running() < 1000) {
			t.Fatalf("%q gave %+v", text, r)
		}
	})
}

func ExampleReport_Predict() {
	report, err := load.Parse("1,0,3,200", time.Unix(0, 0))
	if err != nil {
		panic(err)
	}
	fmt.Println(report.Free(), report.Predict(90*time.Millisecond, 1).Round(time.Millisecond))
	// Output: 2 186ms
}
