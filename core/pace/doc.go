// Package pace bounds the requests in progress at an endpoint that has started or recovered, by how the endpoint answers.
// The note docs/design/pace.md compares the method with others.
package pace
