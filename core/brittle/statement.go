package brittle

// Statement is what an answer says of its endpoint: that it falls over if it has to refuse more than Bears requests in a Window.
type Statement struct {
	Stated bool
	Bears  int
}
