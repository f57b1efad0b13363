package claims

import "flag"

// Property tests draw the same values in each run, unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
