package manifestcmd

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"masticplank.example/router/internal/adminclient"
	"masticplank.example/router/internal/cli"
	"masticplank.example/router/internal/manifest"
)

// manifestResponse is the body of GET /manifest.
type manifestResponse struct {
	Digest   string            `json:"digest"`
	Manifest manifest.Manifest `json:"manifest"`
}

// newGet returns the command that prints the manifest in force. A deployment
// pipeline can generate the next manifest from its output.
func newGet() *cobra.Command {
	var instances []string
	var next bool
	cmd := &cobra.Command{
		Use:   "get --instances ADDR,...",
		Short: "Print the manifest in force, or a draft of the next one",
		Long: `Print the manifest in force at the first instance that answers.

With --next it is printed as a draft of the one that follows: its generation and
parent are set, and its publication id is empty, to be filled in by the run that
publishes it.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := firstManifest(cmd, instances)
			if err != nil {
				return err
			}
			if next {
				return cli.WriteJSON(cmd.OutOrStdout(), draftNext(response))
			}
			return cli.WriteJSON(cmd.OutOrStdout(), response.Manifest)
		},
	}
	cmd.Flags().StringSliceVar(&instances, "instances", nil, "admin addresses of the instances")
	cmd.Flags().BoolVar(&next, "next", false, "print a draft of the manifest that follows")
	_ = cmd.MarkFlagRequired("instances")
	return cmd
}

// firstManifest returns the response of the first instance that answers.
func firstManifest(cmd *cobra.Command, instances []string) (manifestResponse, error) {
	var lastErr error
	for _, addr := range instances {
		var response manifestResponse
		if lastErr = adminclient.New(addr, "").Get(cmd.Context(), "/manifest", &response); lastErr == nil {
			return response, nil
		}
	}
	return manifestResponse{}, cli.StatusErrorf(cli.StatusFailed, "no instance returned its manifest: %w", lastErr)
}

// draftNext turns the manifest in force into a draft of the next one.
func draftNext(current manifestResponse) manifest.Manifest {
	m := current.Manifest
	m.Generation++
	m.Parent = current.Digest
	m.Publication = ""
	return m
}

// newHashKey returns the command that prints an API key's hash for a manifest or
// for settings. The key is read from standard input, so that it need not be an
// argument, which would show up in the process list and the shell history.
func newHashKey() *cobra.Command {
	return &cobra.Command{
		Use:   "hash-key < KEY",
		Short: "Print the hash of an API key, for key_hashes or operator_key_hashes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			line, _ := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			key := strings.TrimRight(line, "\r\n")
			if key == "" {
				return cli.StatusErrorf(cli.StatusInvalid, "no key on standard input")
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), manifest.HashKey(key))
			return err
		},
	}
}
