package settings

import "time"

// Ctl holds the settings of chicoryctl.
type Ctl struct {
	// Nodes are the control addresses of nodes. They are tried in order.
	Nodes []string
	// Operator is the name of the operator, which is recorded with each change.
	Operator string
	// Timeout bounds one request to one node. The default exceeds the time after
	// which a node reports that the platform does not respond.
	Timeout time.Duration
}

// ParseCtl reads the settings of chicoryctl.
func ParseCtl(file string, data []byte) (*Ctl, error) { return parse(file, data, readCtl) }

func readCtl(t table) *Ctl {
	return &Ctl{
		Nodes:    t.addresses("nodes", 1, 32),
		Operator: t.name("operator"),
		Timeout:  t.millis("timeout_ms", 12*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
}
