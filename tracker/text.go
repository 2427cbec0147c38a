package tracker

import "strconv"

// plural returns the number and the noun, with a plural s unless the number is 1.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}
