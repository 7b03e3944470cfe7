package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"
)

// optionsRequests is the number of requests of the case.
const optionsRequests = 20

// runOptions sends requests that no route of the manifest matches, and reports whether one of them got a success that no
// replica has signed. With trouble they ask for the options of the server as a whole, without it for those of a path.
func runOptions(fleet *fleet, trouble bool) (bool, error) {
	log := fleet.record
	replica, err := startEngine(engineSettings{
		id: "i-1", service: "models", slots: 64, firstEvent: 60 * time.Millisecond, pause: 20 * time.Millisecond, events: 5,
		diskLoad: 440 * time.Millisecond, downtime: time.Second,
	}, fleet.store, log, fleet.address(firstReplica), "m0")
	if err != nil {
		return false, err
	}
	defer replica.end()
	fleet.store.Put("op", "config", lateCrashConfig)
	if err := fleet.start(1); err != nil {
		return false, err
	}
	target := "/nowhere/"
	if trouble {
		target = "*"
	}
	unsigned := 0
	for number := range optionsRequests {
		response, err := ask(fleet.nodes[0].callers, fmt.Sprintf(
			"OPTIONS %s HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: o%d\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer school-key\r\n\r\n", target, number))
		if err != nil {
			return false, err
		}
		log.add("client sends OPTIONS %s, id o%d, and gets status %d, signature %q", target, number, response.StatusCode,
			response.Header.Get("Response-Signature"))
		if response.StatusCode/100 == 2 && response.Header.Get("Response-Signature") == "" {
			unsigned++
		}
	}
	fmt.Printf("requests: %d, successes without the signature of a replica: %d\n", optionsRequests, unsigned)
	return unsigned > 0, nil
}

// ask sends a message over a channel of its own and returns the head of the answer.
func ask(address, message string) (*http.Response, error) {
	channel, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = channel.Close() }()
	if err := channel.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := channel.Write([]byte(message)); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(channel), nil)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}
