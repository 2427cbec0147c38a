package registrar

import "sync"

// Cache holds the newest version of each register that a host without a disk has received. It is
// safe for concurrent use. The zero value is an empty cache.
type Cache struct {
	mu      sync.RWMutex
	entries map[string]Entry
}

// Update stores the entry if its version is higher than the stored one and its digest matches its
// value. It reports whether it stored the entry.
func (c *Cache) Update(e Entry) bool {
	if e.Version == 0 || e.Digest != Digest(e.Value) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Version <= c.entries[e.Register].Version {
		return false
	}
	if c.entries == nil {
		c.entries = map[string]Entry{}
	}
	c.entries[e.Register] = e
	return true
}

// Get returns the stored entry of the register. Its version is 0 if there is none.
func (c *Cache) Get(register string) Entry {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e := c.entries[register]
	e.Register = register
	return e
}

// Versions returns the version of each stored entry by register.
func (c *Cache) Versions() map[string]uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	versions := make(map[string]uint64, len(c.entries))
	for name, e := range c.entries {
		versions[name] = e.Version
	}
	return versions
}
