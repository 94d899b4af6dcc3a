// Package notice stores what endpoints say about their own availability in their answers: that they are leaving, or how
// long a host must pause its requests.
package notice
