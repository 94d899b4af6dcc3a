package pause

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cyclamenford/core"
)

// MaxPause is the longest accepted pause. It keeps a value in a wrong unit from excluding an endpoint permanently.
const MaxPause = 60 * 60 * core.Second

// ParseRetryAfter returns the pause that a Retry-After header asks for, limited to the longest accepted one. The header holds
// seconds, possibly with a fraction, or a date. A date is taken relative to the answer's Date header, because the
// clocks of two machines differ, or to the local clock if that header cannot be parsed. A time in the past means no
// pause. An error names the header.
func ParseRetryAfter(text, date string) (core.Millis, error) {
	text = strings.TrimSpace(text)
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		until, err := http.ParseTime(text)
		if err != nil {
			return 0, core.NewFieldError("Retry-After", text, "seconds or a date")
		}
		answeredAt, err := http.ParseTime(date)
		if err != nil {
			answeredAt = time.Now()
		}
		seconds = until.Sub(answeredAt).Seconds()
	}
	// The comparison is also false for NaN.
	if !(seconds > 0) {
		return 0, nil
	}
	return min(MaxPause, core.Millis(math.Ceil(min(seconds, MaxPause.Duration().Seconds())*1000))), nil
}
