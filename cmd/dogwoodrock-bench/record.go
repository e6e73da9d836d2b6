package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"dogwoodrock.example/dogwoodrock/bench"
)

// fleetFlags holds the flags that describe the stand-in backend servers.
type fleetFlags struct {
	DataCentres []string  `long:"data-centre" default:"changwon" default:"gimhae" default:"jinju" description:"a data centre; may be repeated"`
	Servers     int       `long:"servers" default:"2" description:"backend servers in each data centre"`
	Slots       int       `long:"slots" default:"8" description:"slots of each backend server"`
	Speeds      []float64 `long:"speed" default:"1" default:"2" default:"3" default:"4" description:"speed of a backend server, in turn; may be repeated"`
}

func (f fleetFlags) fleet() bench.Fleet {
	return bench.Fleet{DataCentres: f.DataCentres, Servers: f.Servers, Slots: f.Slots, Speeds: f.Speeds}
}

// recordCommand generates a recording and writes it to a file.
type recordCommand struct {
	Profile  string        `long:"profile" default:"steady" description:"name of the scenario"`
	Seed     uint64        `long:"seed" default:"1" description:"the same seed gives the same recording"`
	Duration time.Duration `long:"duration" default:"30s" description:"length of the recording"`
	TaskTime float64       `long:"task-time" default:"1" description:"factor of all run times"`
	fleetFlags
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute generates the recording for the capacity of the fleet and writes it to the file.
func (c *recordCommand) Execute([]string) error {
	profile, ok := bench.Profiles()[c.Profile]
	if !ok {
		return fmt.Errorf("no profile is named %s, only %s", c.Profile, strings.Join(bench.ProfileNames(), ", "))
	}
	recording := bench.Generate(profile, bench.Scale{
		Seed:     c.Seed,
		Duration: c.Duration,
		Capacity: c.fleet().Capacity(),
		TaskTime: c.TaskTime,
	})
	return writeFile(c.Args.File, recording.Write)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
