// Package door lets an entry host select endpoints by itself for requests that need neither batching nor a shared
// cache. Such requests therefore do not depend on a scheduler.
package door
