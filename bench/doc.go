// Package bench is the root of the test equipment; nothing here is part of the product.
package bench
