package registry

import (
	"fmt"
	"maps"
	"slices"
)

// Record is a value that others keep here under compare-and-set.
type Record struct {
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	AtMS    int64  `json:"at_ms"`
}

// edit writes or deletes a record. The same value again changes nothing.
func (s *State) edit(c Command) Result {
	if err := CheckName("key", c.Key); err != nil {
		return failed(fmt.Errorf("%w: %w", ErrInvalid, err))
	}
	was, version := s.records[c.Key], uint64(0)
	if was != nil {
		version = was.Version
	}
	if c.Op == OpDeleteRecord && was == nil {
		return Result{}
	}
	if c.Op == OpPutRecord && was != nil && slices.Equal(was.Value, c.Value) && (c.IfVersion == nil || *c.IfVersion <= version) {
		return Result{Version: version} // a repeat, or the same by somebody else
	}
	switch {
	case c.IfVersion != nil && *c.IfVersion != version:
		return Result{Version: version, Err: fmt.Errorf("%w: the record has version %d, not %d", ErrConflict, version, *c.IfVersion)}
	case len(c.Value) > maxRecordValue:
		return Result{Version: version, Err: fmt.Errorf("%w: a value of %d bytes, %d at most", ErrInvalid, len(c.Value), maxRecordValue)}
	case was == nil && len(s.records) >= maxRecords:
		return failed(fmt.Errorf("%w: %d records are kept", ErrLimitReached, len(s.records)))
	}
	if c.Op == OpDeleteRecord {
		delete(s.records, c.Key)
		return Result{}
	}
	s.recordVersion++
	s.records[c.Key] = &Record{Value: slices.Clone(c.Value), Version: s.recordVersion, AtMS: c.AtMS}
	return Result{Version: s.recordVersion}
}

// Record returns one record.
func (s *State) Record(key string) (Record, bool) {
	if r := s.records[key]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// RecordKeys returns the keys of all records.
func (s *State) RecordKeys() []string { return slices.Sorted(maps.Keys(s.records)) }
