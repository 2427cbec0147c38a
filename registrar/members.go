package registrar

import (
	"encoding/json"
	"fmt"
	"slices"
)

// EncodeReplicas returns the value of the register ReplicaSetRegister for a set of replicas. The
// argument may be in any order.
func EncodeReplicas(replicas []string) []byte {
	sorted := slices.Sorted(slices.Values(replicas))
	value, err := json.Marshal(sorted)
	if err != nil {
		panic("registrar: encode the replica names as JSON: " + err.Error())
	}
	return value
}

// DecodeReplicas decodes and checks a value of the register ReplicaSetRegister. Errors are of type
// *InvalidError.
func DecodeReplicas(value []byte) ([]string, error) {
	var replicas []string
	if err := json.Unmarshal(value, &replicas); err != nil {
		return nil, &InvalidError{
			Field: ReplicaSetRegister,
			Value: string(value),
			Want:  "a JSON array of replica names",
		}
	}
	if err := validateReplicas(replicas); err != nil {
		return nil, err
	}
	return replicas, nil
}

// validateReplicas returns an *InvalidError unless the set has members and their names are distinct
// and not empty.
func validateReplicas(replicas []string) error {
	sorted := slices.Sorted(slices.Values(replicas))
	if len(sorted) == 0 || sorted[0] == "" || len(slices.Compact(sorted)) != len(replicas) {
		return &InvalidError{
			Field: ReplicaSetRegister,
			Value: fmt.Sprint(replicas),
			Want:  "one or more distinct replica names, none empty",
		}
	}
	return nil
}

// ReplicaSet returns the replica set and its version, which is 0 before the first change of the
// set.
func (s State) ReplicaSet() ([]string, uint64) {
	r := s.Registers[ReplicaSetRegister]
	if r == nil || r.Version == 0 {
		return s.InitialReplicas, 0
	}
	replicas, err := DecodeReplicas(r.Value)
	if err != nil {
		panic("registrar: decode the decided replica set: " + err.Error())
	}
	return replicas, r.Version
}

// checkSetChange returns an *InvalidError unless value is a replica set that adds one replica to
// the current set or removes one. Only then does each majority of the new set have a member in
// common with each majority of the current one.
func checkSetChange(current []string, value []byte) error {
	next, err := DecodeReplicas(value)
	if err != nil {
		return err
	}
	differences := 0
	for _, name := range next {
		if !slices.Contains(current, name) {
			differences++
		}
	}
	for _, name := range current {
		if !slices.Contains(next, name) {
			differences++
		}
	}
	if differences != 1 {
		return &InvalidError{
			Field: ReplicaSetRegister,
			Value: string(value),
			Want:  fmt.Sprintf("the set %v with one replica added or removed", current),
		}
	}
	return nil
}
