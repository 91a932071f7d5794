// Command demo starts samphireweir and its stand-ins on loopback, spreads a model to the hosts under live requests, and
// prints a report. The exit status is 1 when the run did not pass, and 2 when it could not be carried out.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"samphireweir.example/samphireweir/internal/demo"
	"samphireweir.example/samphireweir/internal/demo/report"
)

const (
	statusFailed = 1 // the run did not pass
	statusError  = 2 // the run could not be carried out
)

func main() {
	os.Exit(run())
}

// run executes a run as the command line asks for and returns the exit status.
func run() int {
	options, err := demo.ParseOptions(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusError
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := demo.Run(ctx, options, os.Stderr)
	if err == nil {
		err = write(result, options.JSON)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusError
	}
	for _, failure := range result.Failures() {
		fmt.Fprintln(os.Stderr, "did not pass:", failure)
	}
	if len(result.Failures()) > 0 {
		return statusFailed
	}
	return 0
}

func write(result report.Report, asJSON bool) error {
	if asJSON {
		return result.WriteJSON(os.Stdout)
	}
	return result.WriteTable(os.Stdout)
}
