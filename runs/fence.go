package runs

// fenceSteps is the number of fences of an epoch. Epoch and fence fit into the 53 bits
// of a JSON number, for 33 million epochs and years of lost orders.
const fenceSteps = 1 << 28

// raiseFence raises the fence of a server, which rejects all earlier orders once it has
// received the next one.
func (p *Placer) raiseFence(s *server) {
	p.fencesRaised = min(p.fencesRaised+1, fenceSteps-1)
	s.fence = p.epoch*fenceSteps + p.fencesRaised
}

// unanswered handles an order that got no answer. Unless the server has received a higher
// fence, the order may be carried out seconds later, and its lease may count from then.
func (p *Placer) unanswered(s *server, fence uint64) {
	if fence == s.fence {
		p.raiseFence(s)
	}
}

// noteFenced handles an order that was rejected for its fence. It returns false if a
// later order of this placer has raised the fence, and otherwise records that the placer
// has been superseded.
func (p *Placer) noteFenced(s *server, fence uint64) bool {
	if fence < s.fence {
		return false
	}
	p.out.Fenced = true
	return true
}
