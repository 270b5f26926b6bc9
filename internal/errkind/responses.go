package errkind

import "net/http"

// Response is the HTTP response of a kind.
type Response struct {
	Status int
	// RetryAfterSec is the value of Retry-After in seconds, 0 to leave it out.
	RetryAfterSec int
	// NotExecuted states that the request has not run and never will, so that the
	// client may retry it even if it is not idempotent.
	NotExecuted bool
}

// Responses maps every kind to its response.
var Responses = map[Kind]Response{
	UnknownService:          {http.StatusNotFound, 0, true},
	UnknownModel:            {http.StatusNotFound, 0, true},
	UnknownAdapter:          {http.StatusNotFound, 0, true},
	ModelNotAllowed:         {http.StatusUnprocessableEntity, 0, true},
	BadRequest:              {http.StatusBadRequest, 0, true},
	TooLarge:                {http.StatusRequestEntityTooLarge, 0, true},
	HeadTooLarge:            {http.StatusRequestHeaderFieldsTooLarge, 0, true},
	RequestTimeout:          {http.StatusRequestTimeout, 0, true},
	WrongMethod:             {http.StatusMethodNotAllowed, 0, true},
	UnknownPage:             {http.StatusNotFound, 0, true},
	ControlPlaneUnavailable: {http.StatusServiceUnavailable, 2, true},
	Overloaded:              {http.StatusServiceUnavailable, 1, true},
	DeadlinePassed:          {http.StatusServiceUnavailable, 1, true},
	NoRunner:                {http.StatusServiceUnavailable, 2, true},
	PlacementTimeout:        {http.StatusServiceUnavailable, 5, true},
	RunnerRejected:          {http.StatusServiceUnavailable, 1, true},
	ShuttingDown:            {http.StatusServiceUnavailable, 1, true},
	// The first request with this ID may have run, so NotExecuted is not set.
	DuplicateRequest:   {http.StatusConflict, 0, false},
	OutcomeUnknown:     {http.StatusBadGateway, 0, false},
	InvalidResponse:    {http.StatusBadGateway, 0, false},
	ClientDisconnected: {499, 0, false},

	StaleBase:           {http.StatusPreconditionFailed, 0, true},
	MissingBase:         {http.StatusPreconditionRequired, 0, true},
	FaultyDescription:   {http.StatusUnprocessableEntity, 0, true},
	NotAccepted:         {http.StatusServiceUnavailable, 2, true},
	NotPrimary:          {http.StatusMisdirectedRequest, 0, true},
	AcceptanceUnknown:   {http.StatusGatewayTimeout, 0, false},
	NotBootstrapped:     {http.StatusServiceUnavailable, 2, true},
	AlreadyBootstrapped: {http.StatusConflict, 0, true},

	StaleEpoch:       {http.StatusConflict, 0, true},
	WrongSite:        {http.StatusConflict, 0, true},
	WrongDaemon:      {http.StatusConflict, 0, true},
	Malformed:        {http.StatusBadRequest, 0, true},
	NotHeld:          {http.StatusConflict, 0, true},
	StaleRevision:    {http.StatusConflict, 0, true},
	WrongIncarnation: {http.StatusConflict, 0, true},
	StaleMessage:     {http.StatusConflict, 0, true},
	NotInitialDisk:   {http.StatusConflict, 0, true},
	NoQuorumContact:  {http.StatusServiceUnavailable, 1, true},
	InputQueueFull:   {http.StatusServiceUnavailable, 1, true},
}

// Response returns the response of the kind.
func (k Kind) Response() Response { return Responses[k] }
