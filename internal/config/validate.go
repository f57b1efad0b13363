package config

// Validate checks the values of s and its closure: names are unique, values
// are in range, and every service and class that a route names is in s. It
// returns every fault. Keys give resources by kind and position.
func Validate(s *Snapshot) Faults {
	return nil
}
