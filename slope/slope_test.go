package slope_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/slope"
)

// maxBytesPerUnit bounds the reproducible slopes, which are in bytes.
var maxBytesPerUnit = map[string]float64{
	"DigestBytes":        70,
	"ChangeBytes":        44,
	"MemberBytes":        180,
	"OwnerBytes":         90,
	"EntryBytes":         270,
	"HostBytes":          125,
	"ConfigurationBytes": 90,
	"RenewalBytes":       185,
	"TaskMemory":         1600,
	"AnswerMemory":       1600,
	"ViewMemory":         2000,
}

// TestSlopesStayWithinTheirBounds guards against changes that raise the bytes
// or the memory per unit of size.
func TestSlopesStayWithinTheirBounds(t *testing.T) {
	for _, m := range slope.Measures() {
		bound, ok := maxBytesPerUnit[m.Name]
		if !ok {
			continue
		}
		s, err := m.Run()
		qt.Assert(t, err, qt.IsNil)
		_, each := s.Fit()
		qt.Check(t, each > 0 && each <= bound, qt.IsTrue, qt.Commentf("%s: %.1f %s for each %s", m.Name, each, s.CostUnit, s.SizeUnit))
	}
}

func TestFitReturnsLine(t *testing.T) {
	s := slope.Slope{Points: []slope.Point{{Size: 1, Cost: 12}, {Size: 2, Cost: 14}, {Size: 4, Cost: 18}}}
	fixed, each := s.Fit()
	qt.Check(t, int(fixed+0.5), qt.Equals, 10)
	qt.Check(t, int(each+0.5), qt.Equals, 2)
}

func BenchmarkSlope(b *testing.B) {
	for _, m := range slope.Measures() {
		b.Run(m.Name, func(b *testing.B) {
			for range b.N {
				s, err := m.Run()
				if err != nil {
					b.Fatal(err)
				}
				fixed, each := s.Fit()
				b.ReportMetric(fixed, s.CostUnit+"/fixed")
				b.ReportMetric(each, s.CostUnit+"/each")
			}
		})
	}
}
