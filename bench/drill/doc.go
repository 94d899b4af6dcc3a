// Package drill runs a deployment as real processes behind a fault-injecting proxy, loads it, breaks it by a script, and checks what callers, endpoints and operators have recorded.
package drill
