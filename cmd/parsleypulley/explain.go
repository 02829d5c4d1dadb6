package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// explainCommand prints the log lines of several processes about one request.
type explainCommand struct {
	Request string   `arg:"" help:"ID of the request."`
	Files   []string `arg:"" help:"Log files of processes; the name of a file stands for its process." type:"existingfile"`
}

// maxLogLineBytes is the maximum length of a line in a log file.
const maxLogLineBytes = 1 << 20

// logLine is a log line about a request.
type logLine struct {
	// at is the timestamp of the line, or empty if it has none.
	at string
	// process is the name of the log file without its extension.
	process string
	// text is the line without its timestamp.
	text string
}

// timestampPattern matches the timestamp of a log line. Timestamps are compared as
// text, which requires that all processes log in UTC or with the same offset.
var timestampPattern = regexp.MustCompile(`timestamp=(\S+)\s?`)

// Run prints the lines, sorted by timestamp.
func (c *explainCommand) Run(p *printer) error {
	var lines []logLine
	for _, path := range c.Files {
		found, err := findRequestLines(path, c.Request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line about request %s: it was not taken by these processes, or its lines were dropped (search for \"log lines dropped\")", c.Request)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at, b.at) })
	for _, l := range lines {
		if _, err := fmt.Fprintf(p.out, "%s %s %s\n", l.at, l.process, l.text); err != nil {
			return err
		}
	}
	return nil
}

// findRequestLines returns the lines of a log file that contain the ID of a
// request.
func findRequestLines(path, request string) (lines []logLine, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	process := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	field := regexp.MustCompile(`\brequest(_id)?="?` + regexp.QuoteMeta(request) + `\b`)
	for scanner.Scan() {
		text := scanner.Text()
		if !field.MatchString(text) {
			continue
		}
		at := ""
		if m := timestampPattern.FindStringSubmatch(text); m != nil {
			at = m[1]
			text = strings.Replace(text, m[0], "", 1)
		}
		lines = append(lines, logLine{at: at, process: process, text: text})
	}
	return lines, scanner.Err()
}
