// Package io is the root of the shells that carry out what the decisions in core ask for.
package io
