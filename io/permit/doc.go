// Package permit issues permits for requests to endpoints that name a limit, at the leading keeper, and asks for them at
// all hosts.
package permit
