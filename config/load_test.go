package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestSampleHoldsTheDefaults(t *testing.T) {
	for name, path := range map[string]string{"no file": "", "file": "sample.yaml"} {
		t.Run(name, func(t *testing.T) {
			got, err := Load(path)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, Default()) {
				t.Fatalf("got %+v\nwant %+v", got, Default())
			}
		})
	}
}

func TestLoadUnreadable(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.yaml"))
	var unreadable *ReadError
	if !errors.As(err, &unreadable) || !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("error %v", err)
	}
}

func TestDecodeErrors(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string // prefixes of the lines of the error
	}{
		"empty":          {text: ""},
		"only a comment": {text: "# nothing\n"},
		"unknown field":  {text: "Log:\n  Colour: red\n", want: []string{"f:2: Log.Colour: is not a known field"}},
		"all at once": {
			text: "Log:\n  Level: Loud\nTiming:\n  Lease: soon\nLimits:\n  Jobs: many\n",
			want: []string{"f:4: Timing.Lease: \"soon\" is not a duration", "f:6: Limits.Jobs: must be a whole number"},
		},
		"values at once": {
			text: "Log:\n  Level: Loud\nLimits: {Jobs: 0, Connections: -1}\n",
			want: []string{"f:2: Log.Level: \"Loud\"", "f:3: Limits.Jobs: is 0", "f:3: Limits.Connections: is -1"},
		},
		"repeated field":     {text: "Log: {Level: Info}\nLog: {Level: Warn}\n", want: []string{"f:2: Log: is already named in line 1"}},
		"not YAML":           {text: "Log: [\n", want: []string{"f:1: not valid YAML"}},
		"wrong shape":        {text: "Log: Info\n", want: []string{"f:1: Log: must be fields"}},
		"null":               {text: "Log:\n  Level:\n", want: []string{"f:2: Log.Level: must be text, but is nothing"}},
		"octal":              {text: "Limits: {Jobs: 0x10}\n", want: []string{"f:1: Limits.Jobs: \"0x10\" is not a whole number"}},
		"anchor":             {text: "Log: &a {Level: Info}\n", want: []string{"f:1: \"&\" is not allowed"}},
		"many keys":          {text: strings.Repeat("a:\n", 200), want: []string{"f:101: a mapping has more than 100 keys"}},
		"many keys, lists":   {text: strings.Repeat("a:\n- x\n", 200), want: []string{"f:201: a mapping has more than 100 keys"}},
		"many keys in flow":  {text: "a: {" + strings.Repeat("a: 1,\n", 2000), want: []string{"f:1001: more than 1000 keys"}},
		"many lines":         {text: strings.Repeat("\n", maxLines+1), want: []string{"f:100001: text has more than 100000 lines"}},
		"nested lists":       {text: "- - a\n", want: []string{"f:1: a list directly inside a list"}},
		"deep":               {text: "Log: [[[[[[[[", want: []string{"f:1: brackets nest deeper than 4"}},
		"host not in hosts":  {text: "Host: {Name: other}\n", want: []string{"f:1: Host.Name: \"other\" is not among Hosts"}},
		"other data centre":  {text: "Host: {DataCentre: other}\n", want: []string{"f:1: Host.DataCentre: is \"other\" here"}},
		"host name":          {text: "Host: {Listen: \"localhost:8080\"}\n", want: []string{"f:1: Host.Listen: \"localhost:8080\" is not an IP"}},
		"unknown lists host": {text: "Lists: {Hosts: [local, far]}\n", want: []string{"f:1: Lists.Hosts[1]: \"far\" is not among Hosts"}},
		"lists host twice":   {text: "Lists: {Hosts: [local, local]}\n", want: []string{"f:1: Lists.Hosts[1]: \"local\" is already named"}},
		"no lists host":      {text: "Lists: {Hosts: []}\n", want: []string{"f:1: Lists.Hosts: names 0 hosts"}},
		"times out of order": {
			text: "Timing:\n  Lease: 2s\n  Heartbeat: 3s\n",
			want: []string{
				"f:2: Timing.Lease: is 2s; it must be shorter than Election", "f:3: Timing.Heartbeat: is 3s; it must be shorter than Lease",
				"f:3: Timing.Heartbeat: is 3s; it must be shorter than CallTimeout",
			},
		},
		"duplicate host": {
			text: "Hosts:\n" + strings.Repeat("  - {Name: local, DataCentre: local, Address: 127.0.0.1:1, Front: 127.0.0.1:2}\n", 2),
			want: []string{"f:3: Hosts[1].Name: \"local\" is already", "f:3: Hosts[1].Address:", "f:3: Hosts[1].Front:"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode("f", []byte(tt.text))
			checkLines(t, err, tt.want)
		})
	}
}

func checkLines(t *testing.T, err error, want []string) {
	t.Helper()
	var all FieldErrors
	errors.As(err, &all)
	if len(all) != len(want) {
		t.Fatalf("got\n%v\nwant %d errors", err, len(want))
	}
	for i, prefix := range want {
		if !strings.HasPrefix(all[i].Error(), prefix) {
			t.Errorf("got %q\nwant %q", all[i].Error(), prefix)
		}
	}
}

func TestWarnings(t *testing.T) {
	tests := map[string]struct {
		hosts []string
		want  int
	}{
		"odd":  {hosts: []string{"a"}, want: 0},
		"even": {hosts: []string{"a", "b"}, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Warnings(Settings{Lists: Lists{Hosts: tt.hosts}}); len(got) != tt.want {
				t.Fatalf("got %v", got)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		Sample, "", "\xff", "a: b: c", "- - - -", "Log: {Level: [", "Log:\n\tLevel: x", "? a\n: b", "--- \n---\n", "Hosts:\n- \n-",
		"Host: |\n  a", "'", "\"\\x", "Timing: {Lease: 1e400}", "Limits: {Jobs: 99999999999999999999}", "!!map {}", "<<: *a", "%YAML 9",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := Decode("fuzz", text)
		var all FieldErrors
		if err != nil && !errors.As(err, &all) {
			t.Fatalf("error of type %T", err)
		}
	})
}
