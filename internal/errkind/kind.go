// Package errkind is the closed list of what can go wrong, and what each kind
// is answered with. Nothing outside this list reaches a caller.
package errkind

import "net/http"

// Kind names one way to fail.
type Kind string

// The kinds a caller of a service may meet.
const (
	UnknownService  Kind = "unknown service"
	UnknownModel    Kind = "unknown model"
	UnknownAdapter  Kind = "unknown adapter"
	ModelNotAllowed Kind = "model not allowed"
	BadRequest      Kind = "bad request"
	TooLarge        Kind = "too large"
	HeadTooLarge    Kind = "head too large"
	WrongMethod     Kind = "wrong method"
	UnknownPage     Kind = "unknown page"
	NoWord          Kind = "no word from control"
	HoldingFull     Kind = "holding full"
	DeadlinePassed  Kind = "deadline passed"
	NoRunner        Kind = "no runner"
	NoTurn          Kind = "no turn in time"
	RunnerDropped   Kind = "runner dropped it"
	Stopping        Kind = "stopping"
	AlreadyTaken    Kind = "already taken"
	OutcomeUnknown  Kind = "outcome unknown"
	BrokenAnswer    Kind = "broken answer"
	SenderGone      Kind = "sender gone"
)

// The kinds an operator may meet.
const (
	StaleBase         Kind = "stale base"
	NoBase            Kind = "no base"
	FaultyDescription Kind = "faulty description"
	NotTaken          Kind = "not taken"
	NotPrimary        Kind = "not the primary"
	AcceptanceUnknown Kind = "acceptance unknown"
	NotFounded        Kind = "not founded"
	AlreadyFounded    Kind = "already founded"
)

// The kinds a daemon counts when it refuses another's message.
const (
	LowerEpoch    Kind = "lower epoch"
	OtherSite     Kind = "other site"
	Malformed     Kind = "malformed"
	OtherDaemon   Kind = "other daemon"
	NotHeld       Kind = "not held"
	StaleRevision Kind = "stale revision"
	OtherRunner   Kind = "other incarnation"
	Overtaken     Kind = "overtaken message"
	NotFirstDisk  Kind = "not a disk of the first start"
	NoContact     Kind = "no contact with a majority"
	RingFull      Kind = "ring full"
)

// Reply is what a kind is answered with.
type Reply struct {
	Status        int
	RetryAfterSec int
	// Drop says the request has not run and never will, so that the caller
	// may send it again whatever it is.
	Drop bool
}

// Table maps every kind to its answer. It is the only place that knows.
var Table = map[Kind]Reply{
	UnknownService:  {http.StatusNotFound, 0, true},
	UnknownModel:    {http.StatusNotFound, 0, true},
	UnknownAdapter:  {http.StatusNotFound, 0, true},
	ModelNotAllowed: {http.StatusUnprocessableEntity, 0, true},
	BadRequest:      {http.StatusBadRequest, 0, true},
	TooLarge:        {http.StatusRequestEntityTooLarge, 0, true},
	HeadTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, 0, true},
	WrongMethod:     {http.StatusMethodNotAllowed, 0, true},
	UnknownPage:     {http.StatusNotFound, 0, true},
	NoWord:          {http.StatusServiceUnavailable, 2, true},
	HoldingFull:     {http.StatusServiceUnavailable, 1, true},
	DeadlinePassed:  {http.StatusServiceUnavailable, 1, true},
	NoRunner:        {http.StatusServiceUnavailable, 2, true},
	NoTurn:          {http.StatusServiceUnavailable, 5, true},
	RunnerDropped:   {http.StatusServiceUnavailable, 1, true},
	Stopping:        {http.StatusServiceUnavailable, 1, true},
	// The first sending of the id may have run, so this one is no drop.
	AlreadyTaken:   {http.StatusConflict, 0, false},
	OutcomeUnknown: {http.StatusBadGateway, 0, false},
	BrokenAnswer:   {http.StatusBadGateway, 0, false},
	SenderGone:     {499, 0, false},

	StaleBase:         {http.StatusPreconditionFailed, 0, true},
	NoBase:            {http.StatusPreconditionRequired, 0, true},
	FaultyDescription: {http.StatusUnprocessableEntity, 0, true},
	NotTaken:          {http.StatusServiceUnavailable, 2, true},
	NotPrimary:        {http.StatusMisdirectedRequest, 0, true},
	AcceptanceUnknown: {http.StatusGatewayTimeout, 0, false},
	NotFounded:        {http.StatusServiceUnavailable, 2, true},
	AlreadyFounded:    {http.StatusConflict, 0, true},

	LowerEpoch:    {http.StatusConflict, 0, true},
	OtherSite:     {http.StatusConflict, 0, true},
	OtherDaemon:   {http.StatusConflict, 0, true},
	Malformed:     {http.StatusBadRequest, 0, true},
	NotHeld:       {http.StatusConflict, 0, true},
	StaleRevision: {http.StatusConflict, 0, true},
	OtherRunner:   {http.StatusConflict, 0, true},
	Overtaken:     {http.StatusConflict, 0, true},
	NotFirstDisk:  {http.StatusConflict, 0, true},
	NoContact:     {http.StatusServiceUnavailable, 1, true},
	RingFull:      {http.StatusServiceUnavailable, 1, true},
}

// Reply looks the kind up.
func (k Kind) Reply() Reply { return Table[k] }
