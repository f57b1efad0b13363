package settings

// Platform holds the settings of chicory-platform.
type Platform struct {
	// Address serves the table, the object store and the administrative
	// endpoint, as "IP:port".
	Address string
	// Connections is the largest number of open connections.
	Connections int
}

// ParsePlatform reads the settings of chicory-platform.
func ParsePlatform(file string, data []byte) (*Platform, error) {
	return parse(file, data, readPlatform)
}

func readPlatform(t table) *Platform {
	return &Platform{
		Address:     t.address("address"),
		Connections: t.count("connections", 4096, 1, 100_000),
	}
}
