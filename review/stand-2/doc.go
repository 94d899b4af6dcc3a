// Command stand-2 plays the users' platform and their operator against the project's own program, whose hosts it starts as processes on
// loopback addresses, for the scripts of the second review. Its first argument names the case, its second one the folder of the record.
package main
