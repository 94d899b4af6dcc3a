package core

import "fmt"

// Priority is the urgency of a request. A smaller number is more urgent.
type Priority uint8

// The three priorities, most urgent first.
const (
	Urgent Priority = iota
	Normal
	Bulk
	// PriorityCount is the number of priorities.
	PriorityCount
)

var priorityNames = [PriorityCount]string{"Urgent", "Normal", "Bulk"}

// String returns the priority's name as written in settings and headers.
func (p Priority) String() string {
	if p >= PriorityCount {
		return fmt.Sprintf("Priority(%d)", uint8(p))
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name, or an error that lists the valid names.
func ParsePriority(name string) (Priority, error) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), nil
		}
	}
	return 0, fmt.Errorf("priority %q: expected one of %v", name, priorityNames)
}

// MarshalText encodes the priority as its name.
func (p Priority) MarshalText() ([]byte, error) {
	if p >= PriorityCount {
		return nil, fmt.Errorf("priority %d is out of range", uint8(p))
	}
	return []byte(priorityNames[p]), nil
}

// UnmarshalText decodes the priority from its name.
func (p *Priority) UnmarshalText(text []byte) error {
	parsed, err := ParsePriority(string(text))
	if err != nil {
		return err
	}
	*p = parsed
	return nil
}
