package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"
)

type versionCommand struct {
	JSON bool `long:"json" description:"Print JSON."`
}

func (v *versionCommand) Execute([]string) error {
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	if v.JSON {
		return json.NewEncoder(stdout).Encode(map[string]string{"version": version, "revision": revision, "go": runtime.Version()})
	}
	fmt.Fprintln(stdout, "puffinlink", version, revision, runtime.Version())
	return nil
}
