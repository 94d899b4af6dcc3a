package core

import "fmt"

// FieldError reports an invalid field of an input, with the value found and the values expected.
type FieldError struct {
	Path     string
	Found    any
	Expected any
}

// Error returns the path with the found and the expected value on one line.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %v, expected %v", e.Path, e.Found, e.Expected)
}

func fieldError(path string, found, expected any) error {
	return &FieldError{Path: path, Found: found, Expected: expected}
}

// NewFieldError returns a FieldError as an error.
func NewFieldError(path string, found, expected any) error {
	return fieldError(path, found, expected)
}
