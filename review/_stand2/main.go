package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(w *world, trouble bool) error{}

// number returns the number in a variable of the environment, for trials, or the usual one.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: RECORD=FILE stand2 CASE")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1]))
}

func run(name string) int {
	w, err := newWorld()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.end()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %v", name, trouble)
	done := make(chan error, 1)
	go func() { done <- cases[name](w, trouble) }()
	select {
	case err = <-done:
	case <-time.After(100 * time.Second):
		err = fmt.Errorf("not finished after 100 s")
	}
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if len(w.broken) > 0 {
		for _, b := range w.broken {
			fmt.Println("broken:", b)
		}
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
