package main

import (
	"syscall"
	"time"
)

// lostConfig replaces a core machine as planned, the new one first. Before the old one is stopped,
// another core machine freezes for some seconds. Later one machine loses its disk right after it has
// acknowledged a configuration.
func lostConfig(p *play) {
	freeze, wipe := p.trouble != "0" && p.trouble != "wipe", p.trouble != "0" && p.trouble != "freeze"
	cores, fronts := p.cluster.addAll()
	p.startUp(cores, fronts)
	time.Sleep(3 * time.Second)

	successor := p.cluster.add("core", 2, 10, false)
	successor.start()
	time.Sleep(5 * time.Second) // longer than catch_up_s
	if freeze {
		cores[1].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		cores[1].signal(syscall.SIGCONT)
	}
	time.Sleep(6 * time.Second) // longer than catch_up_s and contact_ms
	cores[2].signal(syscall.SIGTERM)
	select {
	case <-cores[2].done:
	case <-time.After(6 * time.Second): // grace_s
		cores[2].kill()
	}
	time.Sleep(8 * time.Second) // longer than catch_up_s and contact_ms: its successor has replaced it
	remaining := []*host{cores[0], cores[1], successor}

	acked, _ := p.put(2, remaining, 4*time.Second)
	if acked == nil {
		p.fail("version 2 isn't acknowledged")
	}
	if wipe {
		cores[0].kill()
		cores[0].wipe()
		time.Sleep(time.Second)
		cores[0].start()
	}
	began := time.Now()
	for version := 0; version < 2; {
		if time.Since(began) > 45*time.Second {
			p.breaks("version 2, which was acknowledged, can't be read 45 s after the machine came back, though one disk only was lost")
			return
		}
		for _, h := range remaining {
			version = max(version, p.get(h))
		}
		time.Sleep(time.Second)
	}
	p.note("version 2 is read after %.1f s", time.Since(began).Seconds())
	if h, took := p.put(3, remaining, 10*time.Second); h != nil {
		p.note("version 3 is acknowledged after %.1f s", took.Seconds())
	}
}
