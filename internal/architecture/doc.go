// Package architecture contains only tests. They check the structure of the source tree: which packages may
// import which others, the style of the sources, and the names that the documentation pages mention.
package architecture
