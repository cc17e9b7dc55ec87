package guavamember

// Reachability is what a VM knows of its connection to another one.
type Reachability string

const (
	// Reachable VMs are connected. A VM can reach itself.
	Reachable Reachability = "reachable"
	// Untried VMs have not had the time to answer yet.
	Untried Reachability = "untried"
	// Unreachable VMs did not answer in time.
	Unreachable Reachability = "unreachable"
)

// Candidates returns the head of a ranking to which a VM keeps connections so that it has the wanted number of them. Those that can't
// be reached stay candidates, since they may come back. Each round of attempts goes to more VMs than the one before, so that few rounds
// suffice when most VMs are lost.
func Candidates(ranking []string, wanted int, state func(vm string) Reachability) []string {
	reachable, untried, unreachable := 0, 0, 0
	for i, vm := range ranking {
		switch state(vm) {
		case Reachable:
			reachable++
		case Untried:
			untried++
		case Unreachable:
			unreachable++
		}
		if reachable >= wanted || reachable+untried >= wanted+unreachable {
			return ranking[:i+1]
		}
	}
	return ranking
}
