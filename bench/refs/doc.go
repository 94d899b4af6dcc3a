// Package refs writes the settings reference from the commented structs.
package refs
