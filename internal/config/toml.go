package config

// ParseTOML reads a configuration written by an operator and validates it. The
// error is of type Faults and lists every fault with file, line and key; a
// syntax error hides the faults after it.
func ParseTOML(file string, data []byte) (*Snapshot, error) {
	return nil, nil
}
