// Package examples holds the deployment files of the two first users, so that
// the demo and the measurements run on the files that operators read.
//
// # Usage
//
//	deployment, err := settings.ReadDeployment("piedmont.jsonc", examples.Piedmont)
//
// The workspace keys of both files are "key-" and the workspace's name.
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

// Key returns the key of a workspace of the examples.
func Key(workspace string) string { return "key-" + workspace }
