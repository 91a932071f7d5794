package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
)

// storeCommandTimeout is the timeout of a command that reads or changes the users' platform's store.
const storeCommandTimeout = 10 * time.Second

// storeCommand is a command that reads or changes the store.
type storeCommand interface {
	Check() error
	run(ctx context.Context, out io.Writer) error
}

// runStoreCommand carries out a command with the given flags.
func runStoreCommand(ctx context.Context, fs *flag.FlagSet, c storeCommand) subcommands.ExitStatus {
	if err := loadFlags(fs, c); err != nil {
		return fail(os.Stderr, err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCommandTimeout)
	defer cancel()
	if err := c.run(ctx, os.Stdout); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
