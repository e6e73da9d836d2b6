package jobs

// gather asks every data centre and calls onComplete with the answers, in the order of the data
// centres, once all have arrived. Each ask must call reply exactly once.
func gather[A any](dataCentres []string, ask func(dataCentre string, reply func(A)), onComplete func([]A)) {
	pending := len(dataCentres)
	answers := make([]A, pending)
	for i, dataCentre := range dataCentres {
		ask(dataCentre, func(answer A) {
			answers[i] = answer
			pending--
			if pending == 0 {
				onComplete(answers)
			}
		})
	}
}
