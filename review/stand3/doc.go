// Command stand3 plays the scripts of the third review: it starts the project's own program as separate processes on loopback addresses, with
// stand-ins of clients, runners, the operator and the platform.
package main
