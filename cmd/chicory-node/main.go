// Command chicory-node is the one process of the system on a backend server
// host: entry node for callers, gate to the host's backend servers, and member
// of the control plane.
package main

import (
	"os"

	"github.com/chicoryscale/chicoryscale/internal/cli"
	"github.com/chicoryscale/chicoryscale/internal/nodeproc"
	"github.com/chicoryscale/chicoryscale/internal/settings"
)

func main() {
	os.Exit(cli.Execute(cli.Server("chicory-node",
		"Routes calls and takes part in the control plane on a backend server host",
		settings.ParseNode, nodeproc.Run)))
}
