package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

const (
	// newKeyBytes is the number of random bytes in a new key.
	newKeyBytes  = 24
	newKeyPrefix = "sk-"
)

type keyCommand struct {
	Grant    keyGrantCommand    `cmd:"" help:"Create a key for an account, activate it on every node and print it once."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Withdraw a key on every node."`
	List     keyListCommand     `cmd:"" help:"List the digests and accounts of all keys."`
}

type keyGrantCommand struct {
	nodeFlags
	Account string `arg:"" help:"Account that the key belongs to."`
	KeyFile string `help:"File that contains the key to grant instead of a new one."`
}

// Run grants a key. A new key is printed to standard output only after every
// node accepts it.
func (command *keyGrantCommand) Run() error {
	key, err := command.readOrCreateKey()
	if err != nil {
		return err
	}
	digest := string(mimosatide.DigestKey(key))
	granted := map[string]any{"Account": command.Account, "Withdrawn": false}
	if err := command.applyMergePatch(map[string]any{"Keys": map[string]any{digest: granted}}); err != nil {
		return err
	}
	if command.KeyFile == "" {
		fmt.Println(key)
	}
	return nil
}

func (command *keyGrantCommand) readOrCreateKey() (string, error) {
	if command.KeyFile != "" {
		data, err := os.ReadFile(command.KeyFile)
		return strings.TrimSpace(string(data)), errors.Trace(err)
	}
	random := make([]byte, newKeyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Trace(err)
	}
	return newKeyPrefix + base64.RawURLEncoding.EncodeToString(random), nil
}

type keyWithdrawCommand struct {
	nodeFlags
	Digest  string `help:"Digest of the key as shown by key list." xor:"which" required:""`
	KeyFile string `help:"File that contains the key." xor:"which" required:""`
}

// Run withdraws a key; a digest that the configuration lacks is an error.
func (command *keyWithdrawCommand) Run() error {
	digest := command.Digest
	if digest == "" {
		data, err := os.ReadFile(command.KeyFile)
		if err != nil {
			return errors.Trace(err)
		}
		digest = string(mimosatide.DigestKey(strings.TrimSpace(string(data))))
	}
	keys, err := command.listKeys()
	if err != nil {
		return err
	}
	if _, known := keys[digest]; !known {
		return errors.NotFoundf("key with digest %s", digest)
	}
	return command.applyMergePatch(map[string]any{"Keys": map[string]any{digest: map[string]any{"Withdrawn": true}}})
}

type keyListCommand struct {
	nodeFlags
}

// keyEntry is a key in the configuration document and in the JSON output.
type keyEntry struct {
	Account   string
	Withdrawn bool
}

// Run lists the digests and accounts of all keys.
func (command *keyListCommand) Run() error {
	keys, err := command.listKeys()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, digest := range sortedNames(keys) {
		rows = append(rows, []string{digest, keys[digest].Account, strconv.FormatBool(keys[digest].Withdrawn)})
	}
	return command.print(keys, []string{"DIGEST", "ACCOUNT", "WITHDRAWN"}, rows)
}

func (flags nodeFlags) listKeys() (map[string]keyEntry, error) {
	var document struct{ Keys map[string]keyEntry }
	err := flags.readDocument(&document)
	return document.Keys, err
}

// readDocument decodes those sections of the configuration in force that
// document, a pointer to a struct, has fields for.
func (flags nodeFlags) readDocument(document any) error {
	api, err := flags.client()
	if err != nil {
		return err
	}
	config, err := api.GetConfig(context.Background())
	if err != nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(config.Document, document), "decode configuration document")
}

func sortedNames[Value any](values map[string]Value) []string {
	return slices.Sorted(maps.Keys(values))
}
