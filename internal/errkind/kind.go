// Package errkind has the closed list of kinds of errors that callers and
// operators see, with the HTTP response of each.
package errkind

// Kind is one kind of error. Its text is part of the interface: callers see it in
// ErrorBody, operators in the counters.
type Kind string

// The kinds that a caller of a service sees.
const (
	// UnknownService: the request names no service of the configuration.
	UnknownService Kind = "unknown service"
	// UnknownModel: the service has no such model.
	UnknownModel Kind = "unknown model"
	// UnknownAdapter: the model has no such adapter.
	UnknownAdapter Kind = "unknown adapter"
	// ModelNotAllowed: the service does not allow the model or adapter.
	ModelNotAllowed Kind = "model not allowed"
	// BadRequest: the request can't be read.
	BadRequest Kind = "bad request"
	// TooLarge: the body is larger than allowed.
	TooLarge Kind = "too large"
	// HeadTooLarge: the head is larger than allowed.
	HeadTooLarge Kind = "head too large"
	// WrongMethod: the page has no such method.
	WrongMethod Kind = "wrong method"
	// UnknownPage: there is no such page.
	UnknownPage Kind = "unknown page"
	// NoConfig: the router has no configuration that it may use.
	NoConfig Kind = "no word from control"
	// QueueFull: too many requests wait already.
	QueueFull Kind = "holding full"
	// DeadlinePassed: the request waited until its deadline.
	DeadlinePassed Kind = "deadline passed"
	// NoRunner: no runner can serve it now.
	NoRunner Kind = "no runner"
	// PlacementTimeout: the model can't be loaded before the deadline.
	PlacementTimeout Kind = "no turn in time"
	// RunnerRejected: the runner refused the request without running it.
	RunnerRejected Kind = "runner dropped it"
	// ShuttingDown: the process is stopping.
	ShuttingDown Kind = "stopping"
	// DuplicateRequest: the id of the request was used before.
	DuplicateRequest Kind = "already taken"
	// OutcomeUnknown: the request may have run or not.
	OutcomeUnknown Kind = "outcome unknown"
	// BrokenResponse: the runner's response ended early.
	BrokenResponse Kind = "broken answer"
	// ClientGone: the caller closed the connection.
	ClientGone Kind = "sender gone"
)

// The kinds that an operator sees.
const (
	// StaleBase: the change is based on a revision that is not in force.
	StaleBase Kind = "stale base"
	// MissingBase: the change names no revision that it is based on.
	MissingBase Kind = "no base"
	// FaultyDescription: the configuration or description has faults.
	FaultyDescription Kind = "faulty description"
	// NotAccepted: the change was not accepted and had no effect.
	NotAccepted Kind = "not taken"
	// NotPrimary: this controller is not the primary.
	NotPrimary Kind = "not the primary"
	// AcceptanceUnknown: the change may have been accepted or not.
	AcceptanceUnknown Kind = "acceptance unknown"
	// NotBootstrapped: the site has not been bootstrapped yet.
	NotBootstrapped Kind = "not founded"
	// AlreadyBootstrapped: the site was bootstrapped before.
	AlreadyBootstrapped Kind = "already founded"
)

// The kinds that a daemon counts when it refuses a message of another.
const (
	// LowerEpoch: the message is of an epoch that is over.
	LowerEpoch Kind = "lower epoch"
	// WrongSite: the message is of another site.
	WrongSite Kind = "other site"
	// Malformed: the message can't be decoded.
	Malformed Kind = "malformed"
	// WrongDaemon: the message is for another daemon.
	WrongDaemon Kind = "other daemon"
	// NotHeld: the model is not loaded.
	NotHeld Kind = "not held"
	// StaleRevision: the message is about a revision that is not in force.
	StaleRevision Kind = "stale revision"
	// WrongIncarnation: another incarnation of the runner answered.
	WrongIncarnation Kind = "other incarnation"
	// Overtaken: a later message has overtaken this one.
	Overtaken Kind = "overtaken message"
	// NotInitialDisk: the disk was not there at the first start of the site.
	NotInitialDisk Kind = "not a disk of the first start"
	// NoContact: there is no contact with a majority of the site.
	NoContact Kind = "no contact with a majority"
	// InputQueueFull: the queue of inputs is full.
	InputQueueFull Kind = "ring full"
)
