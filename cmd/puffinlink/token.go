package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"puffinlink.example/puffinlink/internal/operators/api"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

type tokenCommand struct {
	KeyFile string `long:"key-file" value-name:"FILE" required:"yes" description:"File of the key that hashes tokens; it is created if it does not exist."`
	Name    string `long:"name" value-name:"STRING" default:"ann" description:"Name of the token's owner."`
	Role    string `long:"role" value-name:"STRING" default:"read" choice:"read" choice:"write" description:"Permission: read or write."`
}

func (c *tokenCommand) Execute([]string) error {
	if _, err := os.Stat(c.KeyFile); errors.Is(err, os.ErrNotExist) {
		key := make([]byte, 32)
		rand.Read(key)
		if err := os.WriteFile(c.KeyFile, []byte(hex.EncodeToString(key)+"\n"), 0o600); err != nil {
			return err
		}
	}
	key, err := operatorfile.ReadKey(c.KeyFile)
	if err != nil {
		return err
	}
	token, hash, err := api.NewToken(key)
	if err != nil {
		return err
	}
	line, err := json.Marshal(tokenEntry{c.Name, c.Role, hash})
	fmt.Fprintf(stdout, "token, for its holder alone: %s\nfor operators.tokens: %s\n", token, line)
	return err
}

// tokenEntry is an element of operators.tokens in the operator's file.
type tokenEntry struct {
	Name string `json:"name"`
	Role string `json:"role"`
	Hash string `json:"hash"`
}
