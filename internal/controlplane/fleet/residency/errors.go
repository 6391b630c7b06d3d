package residency

import "fmt"

// ContractError says what is wrong with a contract, and what was expected.
type ContractError string

// Error is the message, for the operator who wrote the contract.
func (e ContractError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ContractError(fmt.Sprintf(format, arguments...))
}
