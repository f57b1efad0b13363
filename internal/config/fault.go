package config

import "github.com/chicoryscale/chicoryscale/internal/tomldoc"

// Fault is one error in a configuration. Its key is the path of the resource
// and field, such as "routes[2].service".
type Fault = tomldoc.Fault

// Faults lists all faults of a configuration. AsError returns it as an error if
// it is not empty.
type Faults = tomldoc.Faults
