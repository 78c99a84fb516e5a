package load

import (
	"fmt"

	"github.com/vanillaquay/vanillaquay/task"
)

// rackSize is the number of workers of a full rack.
const rackSize = 8

// Worker is one worker of a cell.
type Worker struct {
	ID, Rack, Zone, Region string
	Capacity               task.Size
}

// Cell is the workers that a load runs on. It is immutable.
type Cell struct {
	Name string
	// Region is where the platform's store and the scheduler are.
	Region string
	// Workers is in order of ID.
	Workers []Worker
}

// zone is an availability zone in its region.
type zone struct{ name, region string }

// newCell returns a cell whose racks are dealt out to the zones in turn.
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

// Capacity returns what all workers offer together.
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

// projectedSlots is the slots of a worker at the size to come: 56,000 running
// tasks don't fit into 6,800 workers with the 8 slots of today.
const projectedSlots = 16

// ProjectedCell returns a cell of the size to come, with the given number of
// workers in 4 regions and 13 availability zones.
func ProjectedCell(workers int) Cell {
	capacity := task.Size{Processors: 64 * task.Processor, Memory: 256 * task.Gibibyte, Slots: projectedSlots, Connections: 64}
	var zones []zone
	for i := range 13 {
		zones = append(zones, zone{fmt.Sprintf("zone-%02d", i), fmt.Sprintf("region-%d", i%4)})
	}
	return newCell("Letter", workers, capacity, zones)
}
