// Command chicory-node is the only process of the system on a backend server
// host. It is the entry node for callers, the gate to the host's backend servers
// and a member of the control plane.
package main

import (
	"os"

	"github.com/chicoryscale/chicoryscale/internal/cli"
	"github.com/chicoryscale/chicoryscale/internal/nodeproc"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func main() {
	os.Exit(cli.Execute(cli.NewCommand("chicory-node",
		"Routes calls and takes part in the control plane on a backend server host",
		settings.ParseNode, nodeproc.Run)))
}
