// Package service provides a test double of a plain service, such as a booking
// service. It counts the calls that it ran.
//
// # Usage
//
//	s := service.New()
//	server := http.Server{Handler: s.Handler()}
//	runs := s.Runs() // by method, path and idempotency key
//
// It accepts every call. After LoseAnswers it runs the next calls but aborts their
// connections, so that the callers get no answer.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"comfreyworks/internal/protocol/upstream"
)

// maxBodyBytes is the maximum length of a call's body, in bytes. Longer bodies
// are truncated.
const maxBodyBytes = 8 << 20

// Call identifies a call. Calls with equal values count as runs of the same call.
type Call struct {
	Method string
	// Path does not include the query.
	Path string
	// Key is the idempotency key; it may be empty.
	Key string
}

// Answer is the JSON body of every response.
type Answer struct {
	// Run is the number of calls that the service has run so far, including this
	// one.
	Run    int    `json:"run"`
	Method string `json:"method"`
	// Path includes the query.
	Path string `json:"path"`
	// Echo is the body of the call.
	Echo string `json:"echo"`
}

// Service is a simulated service. It is safe for concurrent use.
type Service struct {
	mu   sync.Mutex
	runs map[Call]int
	// total is the number of calls that ran.
	total         int
	answersToLose int
}

// New returns a service that has run no calls.
func New() *Service {
	return &Service{runs: make(map[Call]int)}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

// LoseAnswers makes the service run the next n calls without answering them: it
// aborts their connections. It replaces the number set before.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Runs returns the number of times that each call ran.
func (s *Service) Runs() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[Call]int, len(s.runs))
	for call, n := range s.runs {
		runs[call] = n
	}
	return runs
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, answerLost := s.recordRun(Call{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(upstream.HeaderIdempotencyKey)})
	if answerLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Run: run, Method: r.Method, Path: r.URL.RequestURI(), Echo: string(body)})
}

// recordRun counts a run of a call. It returns the number of the run and whether
// its answer has to be lost.
func (s *Service) recordRun(call Call) (run int, answerLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[call]++
	if s.answersToLose > 0 {
		s.answersToLose--
		return s.total, true
	}
	return s.total, false
}
