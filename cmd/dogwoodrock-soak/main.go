// Command dogwoodrock-soak runs daemons under faults and checks what callers, backend servers and
// operators observe.
package main

import (
	"os"

	"dogwoodrock.example/dogwoodrock/soak"
)

func main() {
	os.Exit(soak.Main(os.Args[1:], os.Stdout, os.Stderr))
}
