package httpinput

import "net/http"

// Responses to requests that are refused before they are complete; their connections are closed.
const (
	UnavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	badRequestResponse  = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	timeoutResponse     = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	longBodyResponse    = "HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	longHeadResponse    = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Refusal returns the response to a request that is refused before it is complete.
func (in *Input) Refusal() string {
	switch in.status {
	case http.StatusBadRequest:
		return badRequestResponse
	case http.StatusRequestTimeout:
		return timeoutResponse
	case http.StatusRequestEntityTooLarge:
		return longBodyResponse
	case http.StatusRequestHeaderFieldsTooLarge:
		return longHeadResponse
	}
	return UnavailableResponse
}
