// Command proofs reads the output of `go test -json ./...` from standard input and prints docs/PROOFS.md. With -platform
// it prints docs/PROOFS-PLATFORM.md, the part on the users' platform.
package main

import (
	"flag"
	"fmt"
	"os"

	"samphireweir.example/samphireweir/internal/proof"
)

func main() {
	platform := flag.Bool("platform", false, "print docs/PROOFS-PLATFORM.md, the part on the users' platform")
	flag.Parse()
	cells := proof.ProductCells()
	if *platform {
		cells = proof.PlatformCells()
	}
	results, err := proof.ReadResults(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(proof.Page(cells, results))
}
