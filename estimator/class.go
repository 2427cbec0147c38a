package estimator

// Class separates work that must not wait behind much longer work from that longer work.
type Class string

// The two classes.
const (
	// Short is the class of kinds that run about as long as the other kinds of their
	// service, and of kinds without samples.
	Short Class = "short"
	// Long is the class of kinds that run many times longer than the other kinds.
	Long Class = "long"
)
