// Package stand holds stand-ins for endpoints: model engines, encoders, retrievers, rerankers, plain services and a weight store.
package stand
