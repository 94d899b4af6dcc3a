// Command stand runs the cases of the review: it starts the program's hosts as processes on loopback addresses, plays the
// clients, the endpoints and the platform, and checks one rule from what these see.
package main
