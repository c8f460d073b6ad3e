// Package service is a small stand-in for a plain service, such as the one
// that books crews. It counts what it really ran.
//
// # Usage
//
//	s := service.New()
//	server := http.Server{Handler: s.Handler()}
//	runs := s.Runs() // by method, path and idempotency key
//
// It accepts every call. Break makes it drop the connection of calls after
// they have taken effect, so that their answers are lost.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"comfreyworks/internal/protocol/upstream"
)

// maxBodyBytes bounds one call's body, in bytes.
const maxBodyBytes = 8 << 20

// Call identifies calls that have the same effect.
type Call struct {
	Method string
	Path   string
	Key    string
}

// Answer is the body of every answer.
type Answer struct {
	// Run numbers the effects of the service, from one.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Echo   string `json:"echo"`
}

// Service is the stand-in.
type Service struct {
	mu     sync.Mutex
	runs   map[Call]int
	total  int
	broken int
}

// New returns a service that has run nothing.
func New() *Service {
	return &Service{runs: make(map[Call]int)}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.PathPrefix("/").HandlerFunc(s.serve)
	return router
}

// Break loses the answers of the next n calls after they took effect.
func (s *Service) Break(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = n
}

// Runs returns how often each call ran.
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
	run, lost := s.run(Call{Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(upstream.HeaderIdempotencyKey)})
	if lost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Run: run, Method: r.Method, Path: r.URL.RequestURI(), Echo: string(body)})
}

func (s *Service) run(call Call) (run int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.runs[call]++
	if s.broken > 0 {
		s.broken--
		return s.total, true
	}
	return s.total, false
}
