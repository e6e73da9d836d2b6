// Command dogwoodrock-soak runs daemons under faults and checks what callers,
// workers and operators see.
package main

import (
	"os"

	"dogwoodrock.example/dogwoodrock/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
