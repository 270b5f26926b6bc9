// Package errkind is the closed list of what can go wrong, and what each kind
// is answered with. Nothing outside this list reaches a caller.
package errkind

import "net/http"

// Kind names one way to fail.
type Kind string

// The kinds a caller of a service may meet.
const (
	UnknownService   Kind = "unknown service"
	UnknownModel     Kind = "unknown model"
	UnknownAdapter   Kind = "unknown adapter"
	ModelNotAllowed  Kind = "model not allowed"
	BadRequest       Kind = "bad request"
	TooLarge         Kind = "too large"
	HeadTooLarge     Kind = "head too large"
	WrongMethod      Kind = "wrong method"
	UnknownPage      Kind = "unknown page"
	NoConfig         Kind = "no word from control"
	QueueFull        Kind = "holding full"
	DeadlinePassed   Kind = "deadline passed"
	NoRunner         Kind = "no runner"
	PlacementTimeout Kind = "no turn in time"
	RunnerRejected   Kind = "runner dropped it"
	ShuttingDown     Kind = "stopping"
	DuplicateRequest Kind = "already taken"
	OutcomeUnknown   Kind = "outcome unknown"
	BrokenResponse   Kind = "broken answer"
	ClientGone       Kind = "sender gone"
)

// The kinds an operator may meet.
const (
	StaleBase           Kind = "stale base"
	MissingBase         Kind = "no base"
	FaultyDescription   Kind = "faulty description"
	NotAccepted         Kind = "not taken"
	NotPrimary          Kind = "not the primary"
	AcceptanceUnknown   Kind = "acceptance unknown"
	NotBootstrapped     Kind = "not founded"
	AlreadyBootstrapped Kind = "already founded"
)

// The kinds a daemon counts when it refuses another's message.
const (
	LowerEpoch       Kind = "lower epoch"
	WrongSite        Kind = "other site"
	Malformed        Kind = "malformed"
	WrongDaemon      Kind = "other daemon"
	NotHeld          Kind = "not held"
	StaleRevision    Kind = "stale revision"
	WrongIncarnation Kind = "other incarnation"
	Overtaken        Kind = "overtaken message"
	NotInitialDisk   Kind = "not a disk of the first start"
	NoContact        Kind = "no contact with a majority"
	InputQueueFull   Kind = "ring full"
)

// Response is what a kind is answered with.
type Response struct {
	Status        int
	RetryAfterSec int
	// NotExecuted says the request has not run and never will, so that the caller
	// may send it again whatever it is.
	NotExecuted bool
}

// Responses maps every kind to its answer. It is the only place that knows.
var Responses = map[Kind]Response{
	UnknownService:   {http.StatusNotFound, 0, true},
	UnknownModel:     {http.StatusNotFound, 0, true},
	UnknownAdapter:   {http.StatusNotFound, 0, true},
	ModelNotAllowed:  {http.StatusUnprocessableEntity, 0, true},
	BadRequest:       {http.StatusBadRequest, 0, true},
	TooLarge:         {http.StatusRequestEntityTooLarge, 0, true},
	HeadTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, 0, true},
	WrongMethod:      {http.StatusMethodNotAllowed, 0, true},
	UnknownPage:      {http.StatusNotFound, 0, true},
	NoConfig:         {http.StatusServiceUnavailable, 2, true},
	QueueFull:        {http.StatusServiceUnavailable, 1, true},
	DeadlinePassed:   {http.StatusServiceUnavailable, 1, true},
	NoRunner:         {http.StatusServiceUnavailable, 2, true},
	PlacementTimeout: {http.StatusServiceUnavailable, 5, true},
	RunnerRejected:   {http.StatusServiceUnavailable, 1, true},
	ShuttingDown:     {http.StatusServiceUnavailable, 1, true},
	// The first sending of the id may have run, so this one is no drop.
	DuplicateRequest: {http.StatusConflict, 0, false},
	OutcomeUnknown:   {http.StatusBadGateway, 0, false},
	BrokenResponse:   {http.StatusBadGateway, 0, false},
	ClientGone:       {499, 0, false},

	StaleBase:           {http.StatusPreconditionFailed, 0, true},
	MissingBase:         {http.StatusPreconditionRequired, 0, true},
	FaultyDescription:   {http.StatusUnprocessableEntity, 0, true},
	NotAccepted:         {http.StatusServiceUnavailable, 2, true},
	NotPrimary:          {http.StatusMisdirectedRequest, 0, true},
	AcceptanceUnknown:   {http.StatusGatewayTimeout, 0, false},
	NotBootstrapped:     {http.StatusServiceUnavailable, 2, true},
	AlreadyBootstrapped: {http.StatusConflict, 0, true},

	LowerEpoch:       {http.StatusConflict, 0, true},
	WrongSite:        {http.StatusConflict, 0, true},
	WrongDaemon:      {http.StatusConflict, 0, true},
	Malformed:        {http.StatusBadRequest, 0, true},
	NotHeld:          {http.StatusConflict, 0, true},
	StaleRevision:    {http.StatusConflict, 0, true},
	WrongIncarnation: {http.StatusConflict, 0, true},
	Overtaken:        {http.StatusConflict, 0, true},
	NotInitialDisk:   {http.StatusConflict, 0, true},
	NoContact:        {http.StatusServiceUnavailable, 1, true},
	InputQueueFull:   {http.StatusServiceUnavailable, 1, true},
}

// Response looks the kind up.
func (k Kind) Response() Response { return Responses[k] }
