package slope

import (
	"fmt"
	"io"
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// Slope is a cost measured at several sizes.
type Slope struct {
	Name string
	// CostUnit and SizeUnit are the units of the points' costs and sizes.
	CostUnit, SizeUnit string
	Points             []Point
}

// Point is the cost at one size.
type Point struct{ Size, Cost float64 }

// Fit fits a line to the points by least squares and returns the cost at size 0
// and the cost per unit of size.
func (s Slope) Fit() (fixed, perUnit float64) {
	var sizes, costs []float64
	for _, p := range s.Points {
		sizes = append(sizes, p.Size)
		costs = append(costs, p.Cost)
	}
	return stat.LinearRegression(sizes, costs, nil, false)
}

// Measure is a named measurement of a slope.
type Measure struct {
	Name string
	Run  func() (Slope, error)
}

// Measures returns the measurements of all slopes.
func Measures() []Measure {
	return []Measure{
		{"DigestBytes", digestBytes},
		{"ChangeBytes", changeBytes},
		{"MemberBytes", memberBytes},
		{"OwnerBytes", ownerBytes},
		{"CommandBytes", commandBytes},
		{"ReportBytes", reportBytes},
		{"RenewalBytes", renewalBytes},
		{"EntryBytes", entryBytes},
		{"HostBytes", hostBytes},
		{"ConfigurationBytes", configurationBytes},
		{"TaskMemory", taskMemory},
		{"AnswerMemory", answerMemory},
		{"ViewMemory", viewMemory},
		{"RenewalTime", renewalTime},
		{"DigestTime", digestTime},
		{"DecisionTime", decisionTime},
	}
}

// Print measures every slope and writes the results as a table.
func Print(w io.Writer) error {
	fmt.Fprint(w, "| Slope | Cost | Points | Fixed | Each |\n|---|---|---|---|---|\n")
	for _, m := range Measures() {
		s, err := m.Run()
		if err != nil {
			return errors.Annotate(err, m.Name)
		}
		fixed, perUnit := s.Fit()
		fmt.Fprintf(w, "| %s | %s | %s | %s %s | %s %s for each %s |\n",
			m.Name, s.Name, s.points(), formatDigits(fixed), s.CostUnit, formatDigits(perUnit), s.CostUnit, s.SizeUnit)
	}
	return nil
}

func (s Slope) points() string {
	text := ""
	for i, p := range s.Points {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%.0f: %s", p.Size, formatDigits(p.Cost))
	}
	return text
}

// formatDigits formats a number with three significant digits, or without
// decimals from 100 on.
func formatDigits(x float64) string {
	if math.Abs(x) >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
