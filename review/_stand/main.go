// Command review-stand runs one case of the review: the project's host as separate
// processes, with stand-ins for the store, the upstreams and the clients.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*world){"upload": runUpload, "restore": runRestore}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	w := newWorld(os.Args[2])
	defer func() {
		if cause := recover(); cause != nil {
			w.giveUp("%v", cause)
		}
	}()
	cases[os.Args[1]](w)
}
