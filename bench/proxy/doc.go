// Package proxy is a small TCP proxy that delays, holds back and cuts connections between named parties.
package proxy
