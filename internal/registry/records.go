package registry

import (
	"maps"
	"slices"
)

// Record is a value that workflows store in the registry and update by compare-and-set.
type Record struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"` // time of the write, in milliseconds since 1970
}

// versionOrZero returns the record's version, or 0 if there is no record.
func (r *Record) versionOrZero() uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}

// putRecord writes a record. Writing the value that it already has changes nothing,
// regardless of who wrote it.
func (s *State) putRecord(c Command) (Result, error) {
	if err := CheckName("key", c.Key); err != nil {
		return Result{}, invalid("%w", err)
	}
	current := s.records[c.Key]
	version := current.versionOrZero()
	if current != nil && slices.Equal(current.Value, c.Value) && (c.IfVersion == nil || *c.IfVersion <= version) {
		return Result{Version: version}, nil
	}
	if err := checkRecordChange(c, current); err != nil {
		return Result{Version: version}, err
	}
	if current == nil && len(s.records) >= maxRecords {
		return Result{}, limitReached("%d records are kept", len(s.records))
	}
	s.recordVersion++
	s.records[c.Key] = &Record{Value: slices.Clone(c.Value), Version: s.recordVersion, AtMS: c.AtMS}
	return Result{Version: s.recordVersion}, nil
}

// deleteRecord deletes a record. Deleting one that does not exist succeeds.
func (s *State) deleteRecord(c Command) (Result, error) {
	if err := CheckName("key", c.Key); err != nil {
		return Result{}, invalid("%w", err)
	}
	current := s.records[c.Key]
	if current == nil {
		return Result{}, nil
	}
	if err := checkRecordChange(c, current); err != nil {
		return Result{Version: current.Version}, err
	}
	delete(s.records, c.Key)
	return Result{}, nil
}

// checkRecordChange checks a command's expected version against the current record, and
// the size of its value.
func checkRecordChange(c Command, current *Record) error {
	version := current.versionOrZero()
	if c.IfVersion != nil && *c.IfVersion != version {
		return conflict("the record has version %d, not %d", version, *c.IfVersion)
	}
	if len(c.Value) > maxRecordValueBytes {
		return invalid("a value of %d bytes, %d at most", len(c.Value), maxRecordValueBytes)
	}
	return nil
}

// Record returns the record with a key.
func (s *State) Record(key string) (Record, bool) {
	if r := s.records[key]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// RecordKeys returns the keys of all records, in order.
func (s *State) RecordKeys() []string { return slices.Sorted(maps.Keys(s.records)) }
