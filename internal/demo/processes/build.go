// Package processes builds, starts, watches and stops the processes of a demo run. It signals only its own child processes.
package processes

import (
	"context"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Names of the two binaries.
const (
	Product = "samphireweir"
	StandIn = "standin"
)

const modulePath = "samphireweir.example/samphireweir"

// Build compiles the product and the stand-ins into a directory. The working directory must be inside the module.
func Build(ctx context.Context, dir string) error {
	for _, name := range []string{Product, StandIn} {
		target := filepath.Join(dir, name)
		command := exec.CommandContext(ctx, "go", "build", "-o", target, modulePath+"/cmd/"+name)
		output, err := command.CombinedOutput()
		if err != nil {
			return errors.Wrapf(err, "building %s: %s", name, output)
		}
	}
	return nil
}
