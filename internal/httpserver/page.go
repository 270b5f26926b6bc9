package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"myrtlewinch/internal/errkind"
)

// WriteJSON writes a value as a JSON document. The document is encoded whole; its memory is taken
// from the account until the client has read it, and the account may close the connection before
// that in favour of others. If there is no memory the request is rejected.
func (s *Connections) WriteJSON(w http.ResponseWriter, r *http.Request, value any) {
	response := s.options.Account.Open()
	defer response.Close()
	s.encoding.Lock()
	text, err := json.Marshal(value)
	text = append(text, '\n')
	length := int64(len(text))
	fits := err == nil && response.Grow(ResponseClasses.Of(length), length)
	s.encoding.Unlock()
	if !fits {
		s.options.WriteRejection(w, errkind.Overloaded, retryMemoryMs)
		return
	}
	AllowEviction(r, response)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	// An error means that the client has closed the connection.
	_, _ = w.Write(text)
}
