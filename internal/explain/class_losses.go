package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"samphireweir.example/samphireweir/internal/logevent"
)

// Class is a set of requests that have a property in common, for example a client account.
type Class struct {
	// Property is what the requests have in common: classPriority, classAccount or classDataCentre.
	Property string
	Value    string
}

// The properties by which losses are counted.
const (
	classPriority   = "priority"
	classAccount    = "account"
	classDataCentre = "data centre"
)

// ClassLosses counts the requests of one class by how they ended. Refused and RefusedAgain count the refusals of callers that came for
// the first time, and of those that had been refused before.
type ClassLosses struct {
	Class
	Ended, InTime, Late, Refused, RefusedAgain, Failed int
	// OnArrival and WaitsEnded count the refusals by a predicted wait: at once, and of requests that waited, for example for the end of an
	// outage. Waits that ended with an answer have no line of their own.
	OnArrival, WaitsEnded int
}

// lossesByClass counts the accepted requests by class, ordered by property and value. Requests that were refused before they were
// accepted, for example for an unknown key, have no priority and no account, and are left out.
func (l *Log) lossesByClass() []ClassLosses {
	dataCentres := l.dataCentres()
	lastAttempt := map[string]Line{}
	counts := map[Class]*ClassLosses{}
	for _, line := range l.Lines {
		switch line.Event {
		case logevent.RequestSent:
			lastAttempt[line.Request] = line
		case logevent.RequestRefused, logevent.RequestEnded:
			if line.Route == "" {
				continue
			}
			for _, class := range classesOf(line, dataCentres) {
				if counts[class] == nil {
					counts[class] = &ClassLosses{Class: class}
				}
				counts[class].add(line, lastAttempt[line.Request])
			}
		}
	}
	var list []ClassLosses
	for _, c := range counts {
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b ClassLosses) int {
		return cmp.Or(cmp.Compare(a.Property, b.Property), cmp.Compare(a.Value, b.Value))
	})
	return list
}

// dataCentres returns the data centre of each host whose start is in the logs.
func (l *Log) dataCentres() map[string]string {
	found := map[string]string{}
	for _, line := range l.Lines {
		if line.Event == logevent.Listening && line.DataCentre != "" {
			found[line.Name] = line.DataCentre
		}
	}
	return found
}

// classesOf returns the classes of a request, given by the line of its end.
func classesOf(line Line, dataCentres map[string]string) []Class {
	classes := []Class{{classPriority, strconv.Itoa(line.Priority)}}
	if line.Account != "" {
		classes = append(classes, Class{classAccount, line.Account})
	}
	if dc := dataCentres[line.Name]; dc != "" {
		classes = append(classes, Class{classDataCentre, dc})
	}
	return classes
}

// add counts a request, given by the line of its end and its last attempt.
func (c *ClassLosses) add(end, attempt Line) {
	c.Ended++
	if end.Event == logevent.RequestRefused && end.refusedOnArrival() {
		c.OnArrival++
	}
	if end.Event == logevent.RequestRefused && end.waitEnded() {
		c.WaitsEnded++
	}
	switch {
	case end.Event == logevent.RequestRefused && end.Ran == "not run" && end.Returning:
		c.RefusedAgain++
	case end.Event == logevent.RequestRefused && end.Ran == "not run":
		c.Refused++
	case end.Event == logevent.RequestRefused || end.Outcome != "answered":
		c.Failed++
	case endReason(end, attempt) == "":
		c.InTime++
	default:
		c.Late++
	}
}

// printClasses appends the table of the classes.
func (l Losses) printClasses(out *strings.Builder) {
	if len(l.ByClass) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%-12s %-24s %7s %8s %6s %8s %14s %11s %11s %7s\n",
		"class", "", "ended", "in time", "late", "refused", "refused again", "on arrival", "waits ended", "failed")
	for _, c := range l.ByClass {
		fmt.Fprintf(out, "%-12s %-24s %7d %7.1f%% %6d %8d %14d %11d %11d %7d\n",
			c.Property, c.Value, c.Ended, 100*float64(c.InTime)/float64(c.Ended), c.Late, c.Refused, c.RefusedAgain, c.OnArrival, c.WaitsEnded, c.Failed)
	}
}
