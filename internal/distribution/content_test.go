package distribution

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// lineContent implements Content for configurations of sorted lines of the
// forms "service NAME" and "route NAME SERVICE".
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
		if fields := strings.Fields(line); len(fields) > 2 && fields[0] == "route" && !services[fields[2]] {
			return fmt.Errorf("route %s names the unknown service %s", fields[1], fields[2])
		}
	}
	return nil
}

func (lineContent) Diff(base, next []byte) ([]byte, error) {
	baseLines, nextLines := strings.Split(string(base), "\n"), strings.Split(string(next), "\n")
	var delta []string
	for _, line := range baseLines {
		if _, ok := slices.BinarySearch(nextLines, line); !ok {
			delta = append(delta, "-"+line)
		}
	}
	for _, line := range nextLines {
		if _, ok := slices.BinarySearch(baseLines, line); !ok {
			delta = append(delta, "+"+line)
		}
	}
	return []byte(strings.Join(delta, "\n")), nil
}

func (lineContent) Patch(base, delta []byte) ([]byte, error) {
	lines := strings.Split(string(base), "\n")
	for _, deltaLine := range strings.Split(string(delta), "\n") {
		if len(deltaLine) < 2 {
			return nil, errors.New("delta has an empty line")
		}
		i, found := slices.BinarySearch(lines, deltaLine[1:])
		if found != (deltaLine[0] == '-') {
			return nil, fmt.Errorf("delta line %q does not match the base", deltaLine)
		}
		if found {
			lines = slices.Delete(lines, i, i+1)
		} else {
			lines = slices.Insert(lines, i, deltaLine[1:])
		}
	}
	return []byte(strings.Join(lines, "\n")), nil
}
