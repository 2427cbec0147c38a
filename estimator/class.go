package estimator

// Class is the run time class of a kind. A scheduler uses it to keep short tasks from waiting behind
// long ones.
type Class string

// The two classes.
const (
	// Short is the class of kinds with about the median run time of their service or less, and of
	// kinds that were never observed.
	Short Class = "short"
	// Long is the class of kinds with a multiple of the median run time of their service.
	Long Class = "long"
)
