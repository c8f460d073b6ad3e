// Package examples embeds two example deployment files, so that the demo and the
// measurements use the same files that operators read as examples.
//
// # Usage
//
//	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
//
// In both files the key of a workspace is "key-" followed by its name.
package examples

import _ "embed"

// Piedmont is the deployment file of Piedmont Floorlayers Cooperative.
//
//go:embed piedmont.jsonc
var Piedmont []byte

// Ramdeen is the deployment file of Ramdeen & Sons Ionospheric Services.
//
//go:embed ramdeen.jsonc
var Ramdeen []byte

// Key returns the key of a workspace in the example files.
func Key(workspace string) string { return "key-" + workspace }
