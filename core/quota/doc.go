// Package quota enforces each team's limits on concurrency, requests and tokens per second across all hosts, using the
// usage reports that hosts exchange.
package quota
