package distribution

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// lineContent is a configuration of sorted lines "service NAME" and
// "route NAME SERVICE".
type lineContent struct{}

func makeContent(lines ...string) []byte {
	slices.Sort(lines)
	return []byte(strings.Join(lines, "\n"))
}

func (lineContent) Hash(full []byte) string {
	sum := sha256.Sum256(full)
	return hex.EncodeToString(sum[:])
}

func (lineContent) Validate(full []byte) error {
	services := map[string]bool{}
	for _, line := range strings.Split(string(full), "\n") {
		if name, ok := strings.CutPrefix(line, "service "); ok {
			services[strings.Fields(name)[0]] = true
		}
	}
	for _, line := range strings.Split(string(full), "\n") {
		if f := strings.Fields(line); len(f) > 2 && f[0] == "route" && !services[f[2]] {
			return fmt.Errorf("route %s names the unknown service %s", f[1], f[2])
		}
	}
	return nil
}

func (lineContent) Diff(base, next []byte) ([]byte, error) {
	old, now := strings.Split(string(base), "\n"), strings.Split(string(next), "\n")
	var delta []string
	for _, line := range old {
		if _, ok := slices.BinarySearch(now, line); !ok {
			delta = append(delta, "-"+line)
		}
	}
	for _, line := range now {
		if _, ok := slices.BinarySearch(old, line); !ok {
			delta = append(delta, "+"+line)
		}
	}
	return []byte(strings.Join(delta, "\n")), nil
}

func (lineContent) Patch(base, delta []byte) ([]byte, error) {
	lines := strings.Split(string(base), "\n")
	for _, change := range strings.Split(string(delta), "\n") {
		if len(change) < 2 {
			return nil, errors.New("delta has an empty line")
		}
		i, found := slices.BinarySearch(lines, change[1:])
		if found != (change[0] == '-') {
			return nil, fmt.Errorf("delta line %q does not fit", change)
		}
		if found {
			lines = slices.Delete(lines, i, i+1)
		} else {
			lines = slices.Insert(lines, i, change[1:])
		}
	}
	return []byte(strings.Join(lines, "\n")), nil
}
