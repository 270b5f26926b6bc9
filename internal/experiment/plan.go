// Package experiment compares source trees on the platform's bench: it plays the
// same days (scenarios of the bench) with the same seeds on each tree in turn, pairs
// the results by site, day and seed, and distinguishes differences from noise.
package experiment

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Tree is a checkout of the sources that days are played on.
type Tree struct {
	Name string
	// Folder is the root of the checkout.
	Folder string
}

// Play is one run of the bench: one day on one tree, with one seed.
type Play struct {
	Tree Tree
	// Site is the path of a site file. Day is the name of one of its days, or the
	// path of a file with another day.
	Site, Day string
	Seed      uint64
}

// Plan is what an experiment plays: each day of each site with each seed, on
// every tree. The first tree is the one that the others are compared with.
type Plan struct {
	Trees []Tree
	Sites []string
	Days  []string
	Seeds []uint64
}

// Plays returns all plays. Those that are compared with each other are adjacent, so
// that a change of the machine's speed affects them alike.
func (p Plan) Plays() []Play {
	var plays []Play
	for _, seed := range p.Seeds {
		for _, site := range p.Sites {
			for _, day := range p.Days {
				for _, tree := range p.Trees {
					plays = append(plays, Play{tree, site, day, seed})
				}
			}
		}
	}
	return plays
}

// ParseTrees reads a list such as "base=/a,change=/b".
func ParseTrees(text string) ([]Tree, error) {
	var trees []Tree
	known := map[string]bool{}
	for _, item := range SplitList(text) {
		name, folder, ok := strings.Cut(item, "=")
		if !ok || name == "" || folder == "" {
			return nil, errors.Newf("%q is not NAME=FOLDER", item)
		}
		if known[name] {
			return nil, errors.Newf("two trees are named %q", name)
		}
		known[name] = true
		trees = append(trees, Tree{name, folder})
	}
	if len(trees) == 0 {
		return nil, errors.New("no tree is given")
	}
	return trees, nil
}

// ParseSeeds reads a list such as "5,6,7".
func ParseSeeds(text string) ([]uint64, error) {
	var seeds []uint64
	for _, item := range SplitList(text) {
		seed, err := strconv.ParseUint(item, 10, 64)
		if err != nil {
			return nil, errors.Newf("%q is not a seed", item)
		}
		seeds = append(seeds, seed)
	}
	if len(seeds) == 0 {
		return nil, errors.New("no seed is given")
	}
	return seeds, nil
}

// SplitList splits a list at its commas and leaves out empty items.
func SplitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}
