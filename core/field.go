package core

import "fmt"

// FieldError says which field of an input was refused, what was found and what was expected.
type FieldError struct {
	Path     string
	Found    any
	Expected any
}

// Error returns the path, the found and the expected value in one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %v, expected %v", e.Path, e.Found, e.Expected)
}

func fieldError(path string, found, expected any) error {
	return &FieldError{Path: path, Found: found, Expected: expected}
}

// NewFieldError returns a FieldError.
func NewFieldError(path string, found, expected any) error {
	return fieldError(path, found, expected)
}
