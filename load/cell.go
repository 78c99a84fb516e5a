package load

import (
	"fmt"

	"github.com/vanillaquay/vanillaquay/task"
)

// rackSize is the number of workers in a full rack.
const rackSize = 8

// Worker is one worker of a cell.
type Worker struct {
	ID, Rack, Zone, Region string
	Capacity               task.Size
}

// Cell is the set of workers that a load runs on. It is immutable.
type Cell struct {
	Name string
	// Region is the region of the platform's store and of the scheduler.
	Region string
	// Workers is in order of ID.
	Workers []Worker
}

// zone is an availability zone and its region.
type zone struct{ name, region string }

// newCell returns a cell whose racks are assigned to the zones round robin. The
// scheduler's region is that of the first zone.
func newCell(name string, workers int, capacity task.Size, zones []zone) Cell {
	c := Cell{Name: name, Region: zones[0].region}
	for i := range workers {
		r := i / rackSize
		z := zones[r%len(zones)]
		c.Workers = append(c.Workers, Worker{
			ID: fmt.Sprintf("worker-%05d", i), Rack: fmt.Sprintf("rack-%04d", r),
			Zone: z.name, Region: z.region, Capacity: capacity,
		})
	}
	return c
}

// WithWorkers returns a copy with the first n workers.
func (c Cell) WithWorkers(n int) Cell {
	c.Workers = c.Workers[:min(n, len(c.Workers))]
	return c
}

// Capacity returns the total capacity of the workers.
func (c Cell) Capacity() task.Size {
	var sum task.Size
	for _, w := range c.Workers {
		sum = sum.Plus(w.Capacity)
	}
	return sum
}

// TrinacriaCell returns the cell of Trinacria Digestati.
func TrinacriaCell() Cell {
	capacity := task.Size{Processors: 64 * task.Processor, Memory: 256 * task.Gibibyte, Accelerators: 2, Slots: 8, Connections: 64}
	return newCell("Trinacria", 50, capacity, []zone{
		{"Catania", "sicilia-est"}, {"Ragusa", "sicilia-est"}, {"Marsala", "sicilia-ovest"},
	})
}

// AsociacionCell returns the cell of the Asociación Chilena de Planetarios y
// Cúpulas Digitales.
func AsociacionCell() Cell {
	capacity := task.Size{Processors: 16 * task.Processor, Memory: 32 * task.Gibibyte, Accelerators: 1, Slots: 8, Connections: 64}
	return newCell("Asociacion", 50, capacity, []zone{
		{"Santiago", "centro"}, {"Valparaiso", "centro"}, {"PuntaArenas", "austral"},
	})
}

// projectedSlots is the number of slots per worker at the projected size: 6,800
// workers with the present 8 slots cannot hold 56,000 running tasks.
const projectedSlots = 16

// ProjectedCell returns a cell at the projected scale, with the given
// number of workers, in 4 regions and 13 availability zones.
func ProjectedCell(workers int) Cell {
	capacity := task.Size{Processors: 64 * task.Processor, Memory: 256 * task.Gibibyte, Slots: projectedSlots, Connections: 64}
	var zones []zone
	for i := range 13 {
		zones = append(zones, zone{fmt.Sprintf("zone-%02d", i), fmt.Sprintf("region-%d", i%4)})
	}
	return newCell("Letter", workers, capacity, zones)
}
