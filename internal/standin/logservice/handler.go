package logservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"comfreyworks"
	"comfreyworks/internal/protocol/logservice"
)

// Handler returns the HTTP interface of a log and an instance list.
func Handler(log *Log, list *List) http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		serveAppend(log, w, r)
	}).Methods(http.MethodPost)
	router.HandleFunc("/log/{stream}", func(w http.ResponseWriter, r *http.Request) {
		serveRead(log, w, r)
	}).Methods(http.MethodGet)
	router.HandleFunc("/instances", func(w http.ResponseWriter, r *http.Request) {
		serveList(list, w, r)
	}).Methods(http.MethodGet)
	return router
}

// serveList sends the list unless the client already has the current version.
func serveList(list *List, w http.ResponseWriter, r *http.Request) {
	version, instances := list.current()
	tag := strconv.Quote(strconv.Itoa(version))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	respond(w, instances, nil)
}

func serveAppend(log *Log, w http.ResponseWriter, r *http.Request) {
	stream, err := url.PathUnescape(mux.Vars(r)["stream"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var body logservice.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := log.Append(r.Context(), stream, body.Data)
	respond(w, logservice.AppendResponse{Offset: offset}, err)
}

func serveRead(log *Log, w http.ResponseWriter, r *http.Request) {
	stream, err := url.PathUnescape(mux.Vars(r)["stream"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	from, fromErr := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(query.Get("limit"))
	wait, waitErr := time.ParseDuration(query.Get("wait"))
	if err := errors.Join(fromErr, limitErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := log.Read(r.Context(), stream, comfreyworks.Offset(from), limit, wait)
	respond(w, records, err)
}

// respond sends v as JSON, or an error. For ErrLostAnswer it aborts the
// connection.
func respond(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, ErrLostAnswer):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}
