package estimate

const (
	// saturationStep is how far one request on a last slot moves the factor, and
	// firstSaturationStep how far the first one does. Chosen, not measured.
	saturationStep      = 0.05
	firstSaturationStep = 0.3
	// minSaturation is a last slot that costs nothing; maxSaturation bounds what
	// is believed of one. On the bench last slots cost 1.7 to 2.1, full targets
	// up to 3.5 (docs/DESIGN.md, "Which target").
	minSaturation = 1
	maxSaturation = 4
	// mattersFrom is the greatest factor that counts as no saturation. Chosen,
	// not measured.
	mattersFrom = 1.2
)

// firstSaturation is believed before any request took a last slot. 1.25 in its
// place was measured and lost (loblolly scale-1, .867: docs/DESIGN.md).
var firstSaturation = saturation{factor: 1.15}

// saturation follows how much longer requests take on the last slot of a target.
type saturation struct {
	factor float64
	seen   int
}

// matters says whether a last slot takes noticeably longer.
func (s saturation) matters() bool { return s.factor > mattersFrom }

// learn moves the factor by one step towards what one request took over the
// usual time.
func (s *saturation) learn(ratio float64) {
	step := max(saturationStep, firstSaturationStep/float64(s.seen+1))
	s.seen++
	if ratio < s.factor {
		step = -step
	}
	s.factor = min(max(s.factor+step, minSaturation), maxSaturation)
}
