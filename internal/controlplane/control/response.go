package control

import (
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json"
)

// Failure is the body of a response that reports an error. Error says what is wrong and what to do about it.
type Failure struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, Failure{Error: text})
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, content any) {
	body, err := json.Marshal(content)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
