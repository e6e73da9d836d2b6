package place

import "math"

const (
	speedClasses   = 81   // classes of speed factors; the middle one has factor 1
	middleClass    = 40   // index of the class of factor 1
	classStep      = 1.1  // ratio of neighbouring classes
	holdClassGap   = 4    // classes by which a server must be faster to wait for it
	minHoldSamples = 5.0  // samples of a server's speed before tasks wait for faster ones
	minHoldGain    = 0.05 // minimum share of the run time that waiting must save
)

// classFactors holds the speed factor in the middle of each class.
var classFactors = func() (factors [speedClasses]float64) {
	for i := range factors {
		factors[i] = math.Pow(classStep, float64(i-middleClass))
	}
	return factors
}()

var logClassStep = math.Log(classStep)

// classOf returns the class of a speed factor, given its logarithm.
func classOf(log float64) int {
	return min(max(middleClass+int(math.Round(log/logClassStep)), 0), speedClasses-1)
}

// speedTable counts the slots of a service by the speed class of their server.
type speedTable struct {
	slots [speedClasses]int
}

// slotsUpTo returns the slots of servers up to a class and the rate at which they
// complete tasks, in tasks per mean run time.
func (t *speedTable) slotsUpTo(class int) (slots int, rate float64) {
	for c := 0; c <= class; c++ {
		if n := t.slots[c]; n > 0 {
			slots += n
			rate += float64(n) / classFactors[c]
		}
	}
	return slots, rate
}

// fastest returns the lowest speed factor, or 1 if there are no slots.
func (t *speedTable) fastest() float64 {
	for c, n := range t.slots {
		if n > 0 {
			return classFactors[c]
		}
	}
	return 1
}
