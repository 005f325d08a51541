package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// readAnswer reads an answer and describes it.
func readAnswer(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return fmt.Sprintf("no answer: %v", err)
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	whole := "whole body"
	if err != nil {
		whole = fmt.Sprintf("body cut: %v", err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, %s", resp.StatusCode, resp.Header.Get(hSign), n, whole)
}

// readStatus reads an answer and returns its status.
func readStatus(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return fmt.Sprint(resp.StatusCode)
}
