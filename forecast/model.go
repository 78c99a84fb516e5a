package forecast

import (
	"math"
	"time"
)

const (
	// priorWeight is the weight, in steps, of the assumption that declared estimates are
	// right. It decides for a queue of which few steps have ended.
	priorWeight = 4
	// priorVariance is the variance of the logarithm of the estimates under that assumption.
	priorVariance = 0.25
	// centreMemory is the number of recent steps of a queue that the centre mostly reflects,
	// residualMemory that of the distribution around the median, and medianMemory that of the
	// median itself. The centre needs many steps to tell the effect of the estimate; the others
	// are to follow a shift of the load.
	centreMemory   = 200
	residualMemory = 50
	medianMemory   = 15
	// maxMedianStep bounds the effect of a single residual on the median.
	maxMedianStep = 1
	// rankMemory is the number of recent steps that Model.RankOffset reflects. With right
	// predictions its standard deviation is 0.07.
	rankMemory = 10
	// maxRankOffset is the offset beyond which the load counts as shifted, and keptAfterShift
	// the part of the distribution that is kept then.
	maxRankOffset  = 0.25
	keptAfterShift = 0.05
	// minDuration bounds the durations that a model uses, whose logarithms are taken.
	minDuration = time.Millisecond
	// maxSeconds bounds predictions, so that they fit a time.Duration.
	maxSeconds = 1e9
	// maxLogSeconds bounds the logarithms of durations that a model can have learned.
	maxLogSeconds = 25
	// maxProbability bounds the probabilities for which predictions are made.
	maxProbability = 0.999
)

// Model predicts how long the tasks of a queue run from their declared estimates, on a worker
// of usual speed. The centre is a linear regression of the logarithms: estimates may be wrong
// by a factor, and where they are, the mean of the queue tells more. The median follows a shift
// of the load faster than the centre. Around it lies the distribution of the residuals: of the
// logarithms of run times over their median. The zero value trusts the estimates. A model is
// immutable.
type Model struct {
	// Weight is the sum of the weights of the observations.
	Weight float64 `cbor:"1,keyasint"`
	// X and Y are the weighted sums of the logarithms of estimates and run times.
	X float64 `cbor:"2,keyasint"`
	Y float64 `cbor:"3,keyasint"`
	// XX and XY are the weighted sums of the products of these logarithms.
	XX float64 `cbor:"4,keyasint"`
	XY float64 `cbor:"5,keyasint"`
	// Residuals is the distribution of the recent residuals. It is empty in models that an
	// earlier version recorded.
	Residuals Histogram `cbor:"6,keyasint,omitempty"`
	// MedianOffset is the logarithm of the median over the centre.
	MedianOffset float64 `cbor:"7,keyasint,omitempty"`
	// RankOffset is the recent mean of the ranks of the observations in the predicted
	// distribution, less a half. It is near 0 while the predictions are right.
	RankOffset float64 `cbor:"8,keyasint,omitempty"`
}

// With returns the model after an observation with a weight of at most 1. took is the run time
// on a worker of usual speed.
func (m Model) With(estimate, took time.Duration, weight float64) Model {
	if estimate <= 0 || took <= 0 || !(weight > 0) {
		return m
	}
	weight = min(weight, 1)
	x, y := logSeconds(estimate), logSeconds(took)
	residual := y - m.logMedian(x)
	next := m.withResidual(residual, weight)
	keep := 1 - weight/centreMemory
	next.Weight = keep*m.Weight + weight
	next.X, next.Y = keep*m.X+weight*x, keep*m.Y+weight*y
	next.XX, next.XY = keep*m.XX+weight*x*x, keep*m.XY+weight*x*y
	// The median moves by its own rule alone: the slow move of the centre after a shift of the
	// load would be a drift of all later residuals.
	memory := min(medianMemory, priorWeight+next.Residuals.weight())
	step := weight / memory * min(max(residual, -maxMedianStep), maxMedianStep)
	next.MedianOffset += step - (next.logCentre(x) - m.logCentre(x))
	return next
}

// withResidual returns the model with another residual in its distribution. A run of residuals
// on one side of the distribution shows that the load has shifted: most of the past is then
// forgotten at once.
func (m Model) withResidual(residual, weight float64) Model {
	rank := 1 - m.Residuals.survival(residual)
	m.RankOffset += weight / rankMemory * (rank - 0.5 - m.RankOffset)
	keep := 1 - weight/residualMemory
	if math.Abs(m.RankOffset) > maxRankOffset {
		keep, m.RankOffset = keptAfterShift, 0
	}
	m.Residuals = m.Residuals.with(residual, keep, weight)
	return m
}

// Centre returns the result of the regression: the run time of a task with a declared estimate
// by the mean of its logarithm.
func (m Model) Centre(estimate time.Duration) time.Duration {
	if estimate <= 0 || m.Weight == 0 {
		return estimate
	}
	return seconds(math.Exp(m.logCentre(logSeconds(estimate))))
}

// logCentre returns the logarithm of the centre for that of an estimate.
func (m Model) logCentre(x float64) float64 {
	if m.Weight == 0 {
		return x
	}
	meanX, meanY := m.X/m.Weight, m.Y/m.Weight
	prior := priorWeight * priorVariance
	slope := max(0, (m.XY-m.Weight*meanX*meanY+prior)/(m.XX-m.Weight*meanX*meanX+prior))
	// Without observations the line passes through equal logarithms.
	offset := m.Weight / (m.Weight + priorWeight) * (meanY - meanX)
	return meanX + offset + slope*(x-meanX)
}

func (m Model) logMedian(x float64) float64 { return m.logCentre(x) + m.MedianOffset }

// Quantile returns the time within which a task with a declared estimate ends with the given
// probability. It is 0 for a task without an estimate.
func (m Model) Quantile(estimate time.Duration, p float64) time.Duration {
	return m.Remaining(estimate, 0, p)
}

// Mean returns the mean run time of tasks with a declared estimate. It is 0 for tasks without
// an estimate.
func (m Model) Mean(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return 0
	}
	return seconds(math.Exp(m.logMedian(logSeconds(estimate))) * m.Residuals.meanFactor())
}

// Remaining returns the further time within which a task that has run for the elapsed time
// ends with the given probability. It is 0 for a task without an estimate.
func (m Model) Remaining(estimate, elapsed time.Duration, p float64) time.Duration {
	if estimate <= 0 {
		return 0
	}
	median, surviving := m.logMedian(logSeconds(estimate)), 1.0
	if elapsed > 0 {
		surviving = m.Residuals.survival(math.Log(elapsed.Seconds()) - median)
	}
	residual := m.Residuals.quantile(surviving * (1 - min(max(p, 0), maxProbability)))
	return max(0, seconds(math.Exp(median+residual))-max(elapsed, 0))
}

// Deviation returns the standard deviation of the logarithm of run times for an estimate.
func (m Model) Deviation() float64 { return m.Residuals.deviation() }

// Observations returns the weight of the observations in the distribution: at most 50, and
// little after a shift of the load.
func (m Model) Observations() float64 { return m.Residuals.weight() }

// IsValid reports whether observations can have led to the model.
func (m Model) IsValid() bool {
	if !(m.Weight > 0) || math.IsInf(m.Weight, 1) || !m.Residuals.isValid() {
		return false
	}
	means := []float64{m.X / m.Weight, m.Y / m.Weight, math.Sqrt(m.XX / m.Weight), m.MedianOffset}
	for _, mean := range means {
		if !(math.Abs(mean) <= maxLogSeconds) {
			return false
		}
	}
	return math.Abs(m.XY/m.Weight) <= maxLogSeconds*maxLogSeconds && math.Abs(m.RankOffset) <= 0.5
}

// logSeconds returns the logarithm of a duration, which it bounds.
func logSeconds(d time.Duration) float64 {
	return min(math.Log(max(d, minDuration).Seconds()), maxLogSeconds)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
