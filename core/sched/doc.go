// Package sched decides for all entry hosts together: which stage call takes which pieces, which endpoint runs a request, and what is refused.
package sched
