package guavatraffic

// Declaration is a configuration as the operator wrote it. Its lists may hold entries of the same name.
type Declaration struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	Accounts []Account
	// UnknownKinds are the names of the routes whose kind is unknown. They count as AtMostOnce.
	UnknownKinds []string
}

// Config returns the configuration in force. Of entries with the same name, the last one counts.
func (d Declaration) Config() *Config {
	return NewConfig(d.Version, d.Limits, d.Routes, d.Services, d.Accounts)
}
