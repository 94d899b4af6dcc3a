// Package peer carries net/rpc calls between the hosts of one deployment. On each connection, both sides prove that
// they hold the deployment's key.
package peer
