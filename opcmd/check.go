package opcmd

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/platform"
)

// checkSettings validates a settings file (YAML for a standalone daemon, TOML for one on the
// platform) or the platform's deploy file.
func (a *App) checkSettings(o *FileArgument) error {
	var err error
	switch {
	case !o.IsTOML():
		_, err = config.Load(o.Args.File)
	case platform.IsDeploy(o.Args.File):
		_, err = platform.LoadDeploy(o.Args.File)
	default:
		_, err = platform.LoadSettings(o.Args.File)
	}
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	_, err = fmt.Fprintln(a.Stdout, o.Args.File+": the settings are good")
	return err
}
