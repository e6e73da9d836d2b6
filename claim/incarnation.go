package claim

// Incarnation returns the current incarnation of a host, and false if the host is not a member.
func (reg *Registry) Incarnation(host string) (uint64, bool) {
	m := reg.members[host]
	if m == nil || m.current == nil {
		return 0, false
	}
	return m.current.incarnation, true
}
