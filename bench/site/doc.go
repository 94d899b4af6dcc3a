// Package site holds the two example deployments and runs one of them inside a single process for the demo and for tests.
package site
