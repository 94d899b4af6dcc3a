package limit

import (
	"math"
	"strconv"
	"strings"

	"cyclamenford/core"
)

// Statement is what one answer of an endpoint says about the rate of requests that the endpoint accepts. The zero value
// says nothing.
type Statement struct {
	// Stated is false if the answer says nothing reliable about the rate, such as the answer of another endpoint.
	Stated bool
	// Limited means that the answer names a limit, and Rate is that limit in requests per second from all hosts together.
	Limited bool
	Rate    float64
}

// Named returns the statement of an answer that names a limit in requests per second.
func Named(rate float64) Statement { return Statement{Stated: true, Limited: true, Rate: rate} }

// Unlimited returns the statement of an answer that names no limit.
func Unlimited() Statement { return Statement{Stated: true} }

// Parse returns the statement of an answer in which the header with the given name has these values. If it occurs several
// times, the lowest limit applies. An error names the header; the answer then states nothing.
func Parse(name string, values []string) (Statement, error) {
	if len(values) == 0 {
		return Unlimited(), nil
	}
	lowest := math.Inf(1)
	for _, text := range values {
		rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return Statement{}, core.NewFieldError(name, text, "requests per second, 0 or more")
		}
		lowest = min(lowest, rate)
	}
	return Named(lowest), nil
}
