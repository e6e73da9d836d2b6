package runs

// fenceSteps is how many fences belong to an epoch. Both fit into the 53 bits of
// a JSON number, for 33 million epochs and years of orders that get lost.
const fenceSteps = 1 << 28

// raise lets the server refuse all earlier orders once it has seen the next one.
func (p *Placer) raiseFence(s *server) {
	p.fencesRaised = min(p.fencesRaised+1, fenceSteps-1)
	s.fence = p.epoch*fenceSteps + p.fencesRaised
}

// unanswered takes an order that got no answer. It may be carried out seconds
// later, and the time of its lease may count from then, unless the server has seen
// a higher fence.
func (p *Placer) unanswered(s *server, fence uint64) {
	if fence == s.fence {
		p.raiseFence(s)
	}
}

// fencedOff takes the refusal of an order for its fence. It returns false when a
// later order of this placer has raised the fence meanwhile.
func (p *Placer) noteFenced(s *server, fence uint64) bool {
	if fence < s.fence {
		return false
	}
	p.out.Fenced = true
	return true
}
