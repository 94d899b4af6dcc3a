// Package copies recognises answers that an endpoint sends once more.
package copies
