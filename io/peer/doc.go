// Package peer carries net/rpc calls between the hosts of one deployment, over connections that prove the deployment's key.
package peer
