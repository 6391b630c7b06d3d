package residency

import "fmt"

// ContractError describes what is invalid in a contract, and what was expected.
type ContractError string

// Error returns the message for the operator who wrote the contract.
func (e ContractError) Error() string { return string(e) }

func contractErrorf(format string, arguments ...any) error {
	return ContractError(fmt.Sprintf(format, arguments...))
}
