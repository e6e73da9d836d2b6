package main

import "time"

// firstStart starts the whole system for the first time while one core machine is down.
func firstStart(p *play) {
	cores, fronts := p.cluster.addAll()
	up := cores
	if p.trouble != "0" {
		up = cores[:2]
	}
	for _, h := range append(append([]*host{}, up...), fronts...) {
		h.start()
	}
	time.Sleep(3 * time.Second) // contact_ms
	if h, took := p.put(1, up, 27*time.Second); h == nil {
		p.breaks("no acknowledgement of the first configuration within 30 s, with two of three core machines up and connected")
	} else {
		p.note("acknowledged after %.1f s", took.Seconds())
	}
	if p.trouble == "0" {
		return
	}
	cores[2].bootstrap = false
	cores[2].start()
	time.Sleep(3 * time.Second) // contact_ms
	if h, took := p.put(1, cores, 27*time.Second); h == nil {
		p.breaks("no acknowledgement within 30 s either after the third core machine has come back")
	} else {
		p.note("acknowledged after %.1f s", took.Seconds())
	}
}
