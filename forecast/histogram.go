package forecast

import (
	"encoding/binary"
	"math"
)

const (
	// binCount is the number of bins. The first and the last one have no outer bound.
	binCount = 40
	// finestResidual is the residual up to which the bins have about the same width,
	// finestResidual*binStep. Beyond it their width grows with the residual: a narrow
	// distribution needs bins of one percent, and a wide one reaches to a factor of 20.
	finestResidual = 0.05
	binStep        = 0.252
	// priorScale is the mean distance from 0 in the prior distribution of the residuals, a
	// Laplace distribution: nine of ten tasks take less than 1.5 times their median, and one
	// that has outlived all others is expected to run a fifth of its time longer.
	priorScale = 0.25
	// minBinWeight is the weight below which a bin is emptied, so that it is not recorded.
	minBinWeight = 1e-3
	// encodedBinBytes is the encoded size of a bin: its index and its weight.
	encodedBinBytes = 5
)

// binEdges are the bounds between the bins, and priorBins the probability of each bin in the
// prior distribution.
var (
	binEdges  = makeBinEdges()
	priorBins = makePriorBins()
)

// Histogram is the distribution of the residuals of a queue, by the weight of the observations
// in each bin. The zero value is empty.
type Histogram [binCount]float32

func makeBinEdges() (edges [binCount - 1]float64) {
	for i := range edges {
		edges[i] = finestResidual * math.Sinh(float64(i-binCount/2+1)*binStep)
	}
	return edges
}

func makePriorBins() (bins [binCount]float64) {
	above := 1.0
	for i := range bins {
		next := 0.0
		if i < len(binEdges) {
			next = priorSurvival(binEdges[i])
		}
		bins[i], above = above-next, next
	}
	return bins
}

// priorSurvival returns the probability of a residual above r in the prior distribution.
func priorSurvival(r float64) float64 {
	tail := math.Exp(-math.Abs(r)/priorScale) / 2
	if r < 0 {
		return 1 - tail
	}
	return tail
}

// binOf returns the index of the bin of a residual.
func binOf(r float64) int {
	index := math.Ceil(math.Asinh(r/finestResidual)/binStep) + binCount/2 - 1
	return int(min(max(index, 0), binCount-1))
}

// with returns the histogram with the part keep of its weights and another residual.
func (h Histogram) with(residual, keep, weight float64) Histogram {
	for i := range h {
		if h[i] *= float32(keep); h[i] < minBinWeight {
			h[i] = 0
		}
	}
	h[binOf(residual)] += float32(weight)
	return h
}

// weight returns the sum of the weights of all observations.
func (h *Histogram) weight() float64 {
	sum := 0.0
	for _, w := range h {
		sum += float64(w)
	}
	return sum
}

// probabilities returns the probability of each bin. The weight of the prior distribution
// fades as observations come in, so that it doesn't widen the distribution of a narrow queue.
func (h *Histogram) probabilities() (bins [binCount]float64) {
	observed := h.weight()
	prior := priorWeight * priorWeight / (priorWeight + observed)
	for i := range bins {
		bins[i] = (float64(h[i]) + prior*priorBins[i]) / (observed + prior)
	}
	return bins
}

// survival returns the probability of a residual above r.
func (h *Histogram) survival(r float64) float64 {
	bins, bin := h.probabilities(), binOf(r)
	above := bins[bin] * partAbove(bin, r)
	for _, p := range bins[bin+1:] {
		above += p
	}
	return min(above, 1)
}

// partAbove returns the part of a bin above r. Residuals are evenly distributed between two
// bounds, and as in the prior distribution beyond the outermost.
func partAbove(bin int, r float64) float64 {
	switch bin {
	case 0:
		return 1 - math.Exp(min(0, r-binEdges[0])/priorScale)
	case binCount - 1:
		return math.Exp(-max(0, r-binEdges[bin-1]) / priorScale)
	}
	low, high := binEdges[bin-1], binEdges[bin]
	return min(max((high-r)/(high-low), 0), 1)
}

// quantile returns the residual above which another one lies with the given probability.
func (h *Histogram) quantile(above float64) float64 {
	bins, bin := h.probabilities(), binCount-1
	for ; bin > 0 && above > bins[bin]; bin-- {
		above -= bins[bin]
	}
	part := min(above/bins[bin], 1)
	switch bin {
	case 0:
		return binEdges[0] + priorScale*math.Log(1-part)
	case binCount - 1:
		return binEdges[bin-1] - priorScale*math.Log(part)
	}
	return binEdges[bin] - part*(binEdges[bin]-binEdges[bin-1])
}

// deviation returns the standard deviation of the residuals.
func (h *Histogram) deviation() float64 {
	mean, square := 0.0, 0.0
	for bin, p := range h.probabilities() {
		r := binMiddle(bin)
		mean, square = mean+p*r, square+p*r*r
	}
	return math.Sqrt(max(0, square-mean*mean))
}

// binMiddle returns the mean residual of a bin.
func binMiddle(bin int) float64 {
	switch bin {
	case 0:
		return binEdges[0] - priorScale
	case binCount - 1:
		return binEdges[bin-1] + priorScale
	}
	return (binEdges[bin-1] + binEdges[bin]) / 2
}

// meanFactor returns the mean of run times over their median.
func (h *Histogram) meanFactor() float64 {
	mean := 0.0
	for bin, p := range h.probabilities() {
		mean += p * binMeanFactor(bin)
	}
	return mean
}

// binMeanFactor returns the mean of run times over their median in a bin.
func binMeanFactor(bin int) float64 {
	switch bin {
	case 0:
		return math.Exp(binEdges[0]) / (1 + priorScale)
	case binCount - 1:
		return math.Exp(binEdges[bin-1]) / (1 - priorScale)
	}
	low, high := binEdges[bin-1], binEdges[bin]
	return (math.Exp(high) - math.Exp(low)) / (high - low)
}

// isValid reports whether observations can have led to the histogram.
func (h *Histogram) isValid() bool {
	for _, w := range h {
		if !(w >= 0) {
			return false
		}
	}
	// Rounding may take the sum slightly above the bound.
	return h.weight() < residualMemory+1
}

// MarshalBinary returns the bins that are not empty, each with its index and its weight.
func (h Histogram) MarshalBinary() ([]byte, error) {
	var data []byte
	for i, w := range h {
		if w != 0 {
			data = binary.BigEndian.AppendUint32(append(data, byte(i)), math.Float32bits(w))
		}
	}
	return data, nil
}

// UnmarshalBinary decodes the result of MarshalBinary. Malformed data gives a histogram that is
// not valid rather than an error: the other queues in the same row of the store must remain
// readable.
func (h *Histogram) UnmarshalBinary(data []byte) error {
	*h = Histogram{}
	for ; len(data) >= encodedBinBytes && data[0] < binCount; data = data[encodedBinBytes:] {
		h[data[0]] = math.Float32frombits(binary.BigEndian.Uint32(data[1:]))
	}
	if len(data) > 0 {
		h[0] = float32(math.NaN())
	}
	return nil
}
