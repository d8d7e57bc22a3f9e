package history

import (
	"github.com/anishathalye/porcupine"
)

// RegisterOp is one call on the configuration register: a change based on a
// version, or a read of the version in the register. Call and Return are the
// times of the call on one clock. A change whose outcome its client does not
// know is left open by a Return after the end of the history.
type RegisterOp struct {
	Client   int
	Call     int64
	Return   int64
	Read     bool
	Saw      uint64 // by a read
	Base     uint64 // of a change
	Accepted bool
	Unknown  bool // the client does not know whether its change was accepted
}

// RegisterLinearizable checks calls on the configuration register: versions
// rise by one with each accepted change, and only on the version in force.
func RegisterLinearizable(ops []RegisterOp) bool {
	return porcupine.CheckOperations(registerModel(), operations(ops, func(op RegisterOp) (int, int64, int64) {
		return op.Client, op.Call, op.Return
	}))
}

// operations turns calls into porcupine's form; the call is its own input and
// output.
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
			fits := op.Base == version
			switch {
			case op.Read && op.Saw == version:
				return []any{version}
			case op.Read:
				return nil
			case op.Unknown && fits:
				return []any{version, version + 1}
			case op.Unknown:
				return []any{version}
			case op.Accepted && fits:
				return []any{version + 1}
			case op.Accepted || fits:
				return nil
			}
			return []any{version}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

// ClaimOp is one attempt to claim a key under a token.
type ClaimOp struct {
	Client  int
	Call    int64
	Return  int64
	Key     string
	Token   string
	Won     bool
	Unknown bool
}

// ClaimsLinearizable checks that each key has one winner: a claim is won when
// the key is free or holds the same token, and lost otherwise.
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
			free := owner == "" || owner == op.Token
			switch {
			case op.Unknown && free:
				return []any{owner, op.Token}
			case op.Unknown:
				return []any{owner}
			case op.Won && free:
				return []any{op.Token}
			case op.Won || free:
				return nil
			}
			return []any{owner}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return m.ToModel()
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	at := map[string]int{}
	var out [][]porcupine.Operation
	for _, op := range ops {
		key := op.Input.(ClaimOp).Key
		i, ok := at[key]
		if !ok {
			i = len(out)
			at[key] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], op)
	}
	return out
}
