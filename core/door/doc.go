// Package door chooses, at an entry host, an endpoint for requests that need neither a batch nor a shared cache, so that they
// do not depend on a scheduler.
package door
