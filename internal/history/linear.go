package history

import (
	"github.com/anishathalye/porcupine"
)

// RegisterOp is one call to the configuration register: a compare-and-set based
// on a version, or a read of the current version. Call and Return are its start
// and end on one clock. For a change with unknown outcome, Return is after the
// end of the history.
type RegisterOp struct {
	Client      int
	Call        int64
	Return      int64
	Read        bool
	ReadVersion uint64 // version returned by a read
	BaseVersion uint64 // version that a change is based on
	Accepted    bool
	Unknown     bool // the client does not know whether its change was accepted
}

// RegisterLinearizable reports whether calls to the configuration register are
// linearizable: a change is accepted if and only if it is based on the current
// version, and each accepted change increments the version by one.
func RegisterLinearizable(ops []RegisterOp) bool {
	return porcupine.CheckOperations(registerModel(), operations(ops, func(op RegisterOp) (int, int64, int64) {
		return op.Client, op.Call, op.Return
	}))
}

// operations converts calls to porcupine operations. The call is both input and
// output of its operation.
func operations[T any](ops []T, times func(T) (client int, call, ret int64)) []porcupine.Operation {
	list := make([]porcupine.Operation, 0, len(ops))
	for _, op := range ops {
		client, call, ret := times(op)
		list = append(list, porcupine.Operation{ClientId: client, Input: op, Output: op, Call: call, Return: ret})
	}
	return list
}

func registerModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, input, _ any) []any {
			version, op := state.(uint64), input.(RegisterOp)
			baseIsCurrent := op.BaseVersion == version
			switch {
			case op.Read && op.ReadVersion == version:
				return []any{version}
			case op.Read:
				return nil
			case op.Unknown && baseIsCurrent:
				return []any{version, version + 1}
			case op.Unknown:
				return []any{version}
			case op.Accepted && baseIsCurrent:
				return []any{version + 1}
			case op.Accepted || baseIsCurrent:
				return nil
			}
			return []any{version}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// ClaimOp is one attempt to claim a key with a token.
type ClaimOp struct {
	Client  int
	Call    int64
	Return  int64
	Key     string
	Token   string
	Won     bool
	Unknown bool // the client does not know whether it won
}

// ClaimsLinearizable reports whether claims are linearizable: a claim is won if
// the key is free or claimed with the same token, and lost otherwise.
func ClaimsLinearizable(ops []ClaimOp) bool {
	return porcupine.CheckOperations(claimModel(), operations(ops, func(op ClaimOp) (int, int64, int64) {
		return op.Client, op.Call, op.Return
	}))
}

func claimModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: partitionByKey,
		Init:      func() []any { return []any{""} },
		Step: func(state, input, _ any) []any {
			owner, op := state.(string), input.(ClaimOp)
			claimable := owner == "" || owner == op.Token
			switch {
			case op.Unknown && claimable:
				return []any{owner, op.Token}
			case op.Unknown:
				return []any{owner}
			case op.Won && claimable:
				return []any{op.Token}
			case op.Won || claimable:
				return nil
			}
			return []any{owner}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	indexByKey := map[string]int{}
	var out [][]porcupine.Operation
	for _, op := range ops {
		key := op.Input.(ClaimOp).Key
		i, ok := indexByKey[key]
		if !ok {
			i = len(out)
			indexByKey[key] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], op)
	}
	return out
}
