// Command dogwoodrockd runs the daemon of one host.
package main

import (
	"os"

	"dogwoodrock.example/dogwoodrock/daemon"
	"dogwoodrock.example/dogwoodrock/platform"
)

func main() {
	if path := os.Getenv(platform.SettingsVariable); path != "" {
		os.Exit(platform.Run(path, os.Stdout, os.Stderr))
	}
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
