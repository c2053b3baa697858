package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const maxBody = 8 << 20

// serve starts an HTTP server on a free port of 127.0.0.1 and returns it with its address.
func serve(handler http.HandlerFunc) (*http.Server, string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
}

// freeAddr returns an address on a loopback host whose port is free now.
func freeAddr(host string) string {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func readObject(r *http.Request) (object, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return nil, false
	}
	m, err := decodeObject(body)
	return m, err == nil
}

func reply(w http.ResponseWriter, status int, v any) {
	body := encode(v)
	w.Header().Set("Content-Type", "application/msgpack")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func replyError(w http.ResponseWriter, status int, text string) {
	reply(w, status, object{"error": text})
}

// caller makes HTTP requests.
type caller struct{ client *http.Client }

func newCaller(timeout time.Duration) *caller {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: timeout}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4,
	}
	return &caller{&http.Client{Transport: transport, Timeout: timeout}}
}

// call makes a request; the status is 0 if there is no answer.
func (c *caller) call(method, addr, path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
