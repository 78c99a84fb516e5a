package report

import (
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// offlineSlices is the number of time slices into which a load is divided
	// for its bound. More slices make the bound tighter.
	offlineSlices = 9
	// offlineTolerance is the numerical tolerance of the linear program.
	offlineTolerance = 1e-9
)

// family is the work of a load whose tasks declare the same size.
type family struct {
	// minUse and maxUse are the smallest and the largest true use of a task,
	// per resource.
	minUse, maxUse task.Size
	items          []load.Item
}

// maxTaskSeconds returns an upper bound on the run time that the family can
// have used by the given time, with a worker for each task. It is in seconds of
// a task that uses maxUse.
func (f *family) maxTaskSeconds(until time.Duration) float64 {
	sum := 0.0
	for _, i := range f.items {
		if i.At >= until {
			continue
		}
		part := float64(i.Used.Processors) / float64(f.maxUse.Processors)
		sum += part * float64(i.Work.Tasks) * min(i.RunTime, until-i.At).Seconds()
	}
	return sum
}

// families returns the families of a load in order of first arrival.
func families(l load.Load) []*family {
	byName := map[string]*family{}
	var all []*family
	for _, i := range l.Items {
		f, ok := byName[i.Work.Family]
		if !ok {
			f = &family{minUse: i.Used, maxUse: i.Used}
			byName[i.Work.Family] = f
			all = append(all, f)
		}
		f.items = append(f.items, i)
		f.minUse.Processors, f.minUse.Memory = min(f.minUse.Processors, i.Used.Processors), min(f.minUse.Memory, i.Used.Memory)
		f.maxUse.Processors, f.maxUse.Memory = max(f.maxUse.Processors, i.Used.Processors), max(f.maxUse.Memory, i.Used.Memory)
	}
	return all
}

// patterns returns the numbers of tasks per family that fill a worker, such
// that no further task fits.
func patterns(families []*family, worker task.Size) [][]int {
	var found [][]int
	counts := make([]int, len(families))
	var fill func(i int, free task.Size)
	fill = func(i int, free task.Size) {
		if i == len(families) {
			if !anyFits(families, free) {
				found = append(found, append([]int(nil), counts...))
			}
			return
		}
		size := families[i].minSize()
		for counts[i] = 0; ; counts[i]++ {
			fill(i+1, free)
			if !size.Fits(free) {
				break
			}
			free = free.Minus(size)
		}
		counts[i] = 0
	}
	fill(0, worker)
	return found
}

// minSize returns the smallest part of a worker that a task of the family can
// occupy.
func (f *family) minSize() task.Size {
	size := f.minUse
	size.Slots = 1
	return size
}

func anyFits(families []*family, free task.Size) bool {
	for _, f := range families {
		if f.minSize().Fits(free) {
			return true
		}
	}
	return false
}

// HasOfflineBound reports whether OfflineBound applies to a load: all its work
// is batch tasks that end.
func HasOfflineBound(l load.Load) bool {
	for _, i := range l.Items {
		if i.Work.Kind != task.Batch || i.RunTime == 0 {
			return false
		}
	}
	return len(l.Items) > 0
}

// OfflineBound returns a packing that no scheduler can exceed on a load of
// batch tasks, even one that knows all arrivals, run times and true sizes in
// advance and can migrate tasks freely. It is the optimum of a linear program
// that assigns a mix of patterns to the workers in each time slice, under these
// constraints: the use of each resource is within the cell's capacity, and by
// the end of a slice no family has run more than could have run of its arrivals
// by then.
func OfflineBound(l load.Load) (float64, error) {
	p := newProgram(l)
	best := 0.0
	for _, resource := range []resource{processors, memory} {
		share, err := p.maximize(resource)
		if err != nil {
			return 0, errors.Annotatef(err, "offline bound of %s", l.Name)
		}
		best = max(best, share)
	}
	return best, nil
}

// resource returns the amount of one resource in a size.
type resource func(task.Size) float64

func processors(s task.Size) float64 { return float64(s.Processors) }
func memory(s task.Size) float64     { return float64(s.Memory) }

// program is the linear program of a load. Each slice has one variable per
// pattern, the number of workers that hold it, followed by one per family, the
// number of its running tasks.
type program struct {
	load     load.Load
	families []*family
	patterns [][]int
	// matrix holds one row per "at most" constraint, each with its own slack
	// variable.
	matrix *mat.Dense
	limits []float64
	row    int
}

func newProgram(l load.Load) *program {
	p := &program{load: l, families: families(l)}
	p.patterns = patterns(p.families, l.Cell.Workers[0].Capacity)
	rows := offlineSlices * (2*len(p.families) + 3)
	p.matrix = mat.NewDense(rows, p.variables()+rows, nil)
	p.limits = make([]float64, rows)
	for k := range offlineSlices {
		p.limitWorkers(k)
		p.limitFamilies(k)
		p.limitResource(k, processors)
		p.limitResource(k, memory)
	}
	return p
}

func (p *program) variablesPerSlice() int { return len(p.patterns) + len(p.families) }
func (p *program) variables() int         { return offlineSlices * p.variablesPerSlice() }

// patternVariable returns the index of a pattern's variable, and
// runningVariable that of a family's.
func (p *program) patternVariable(slice, pattern int) int {
	return slice*p.variablesPerSlice() + pattern
}
func (p *program) runningVariable(slice, family int) int {
	return slice*p.variablesPerSlice() + len(p.patterns) + family
}

// addUpperBound completes the current row of the matrix with its limit. Limits
// of 0 are raised by distinct amounts, too small to affect any figure, so that
// no pivot is degenerate.
func (p *program) addUpperBound(limit float64) {
	p.matrix.Set(p.row, p.variables()+p.row, 1)
	p.limits[p.row] = max(limit, offlineTolerance*float64(p.row+1))
	p.row++
}

// limitWorkers adds the constraint that each worker holds at most one pattern.
func (p *program) limitWorkers(slice int) {
	for i := range p.patterns {
		p.matrix.Set(p.row, p.patternVariable(slice, i), 1)
	}
	p.addUpperBound(float64(len(p.load.Cell.Workers)))
}

// limitFamilies adds the constraints that a family runs only in the places that
// the patterns give it, and by the end of the slice no more than
// maxTaskSeconds.
func (p *program) limitFamilies(slice int) {
	length := p.load.Length / offlineSlices
	for f := range p.families {
		p.matrix.Set(p.row, p.runningVariable(slice, f), 1)
		for i, counts := range p.patterns {
			p.matrix.Set(p.row, p.patternVariable(slice, i), -float64(counts[f]))
		}
		p.addUpperBound(0)
		for earlier := range slice + 1 {
			p.matrix.Set(p.row, p.runningVariable(earlier, f), 1)
		}
		p.addUpperBound(p.families[f].maxTaskSeconds(length*time.Duration(slice+1)) / length.Seconds())
	}
}

// limitResource adds the constraint that the use of a resource is within the
// cell's capacity.
func (p *program) limitResource(slice int, of resource) {
	for f := range p.families {
		p.matrix.Set(p.row, p.runningVariable(slice, f), p.share(f, of))
	}
	p.addUpperBound(1)
}

// share returns the share of the cell that a task of a family uses.
func (p *program) share(family int, of resource) float64 {
	return of(p.families[family].maxUse) / of(p.load.Cell.Capacity())
}

// maximize returns the maximum packing of one resource.
func (p *program) maximize(of resource) (float64, error) {
	rows, columns := p.matrix.Dims()
	cost := make([]float64, columns)
	for k := range offlineSlices {
		for f := range p.families {
			cost[p.runningVariable(k, f)] = -p.share(f, of) / offlineSlices
		}
	}
	slack := make([]int, rows)
	for i := range slack {
		slack[i] = p.variables() + i
	}
	least, _, err := lp.Simplex(cost, p.matrix, p.limits, offlineTolerance, slack)
	return -least, errors.Trace(err)
}
