// Package architecture has no code of its own: its tests check how the tree is built, first of all which
// package may import which.
package architecture
