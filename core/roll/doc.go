// Package roll publishes the usable endpoints as a versioned list to hosts that select endpoints themselves. Hosts
// fetch only the changes since the version that they have.
package roll
