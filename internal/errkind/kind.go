// Package errkind defines the closed list of error kinds that clients and operators
// see, with the HTTP response of each.
package errkind

// Kind is one kind of error. Its text is part of the external interface: clients see
// it in ErrorBody, operators in the counters. The texts stay as they are, also where
// the name of the constant is clearer.
type Kind string

// Kinds that the clients of a service see.
const (
	// UnknownService means that the request names no service of the configuration.
	UnknownService Kind = "unknown service"
	// UnknownModel means that the service has no such model.
	UnknownModel Kind = "unknown model"
	// UnknownAdapter means that the model has no such adapter.
	UnknownAdapter Kind = "unknown adapter"
	// ModelNotAllowed means that the service does not allow the model or adapter.
	ModelNotAllowed Kind = "model not allowed"
	// BadRequest means that the request is malformed.
	BadRequest Kind = "bad request"
	// TooLarge means that the body exceeds the size limit.
	TooLarge Kind = "too large"
	// HeadTooLarge means that the request line and headers exceed the size limit.
	HeadTooLarge Kind = "head too large"
	// RequestTimeout means that the client did not send the whole request in time.
	RequestTimeout Kind = "request too slow"
	// WrongMethod means that the page does not support the method.
	WrongMethod Kind = "wrong method"
	// UnknownPage means that there is no such page.
	UnknownPage Kind = "unknown page"
	// ControlPlaneUnavailable means that the router lacks a usable configuration, or
	// other information from the control plane that the request needs.
	ControlPlaneUnavailable Kind = "no word from control"
	// Overloaded means that too many requests are queued or in flight at the router, or
	// that their bodies use too much memory.
	Overloaded Kind = "holding full"
	// DeadlinePassed means that the deadline of the request passed while it was queued.
	DeadlinePassed Kind = "deadline passed"
	// NoRunner means that no runner can serve the request now.
	NoRunner Kind = "no runner"
	// PlacementTimeout means that the model is not loaded, or its runners have no free
	// slot, within the time that the request can wait.
	PlacementTimeout Kind = "no turn in time"
	// RunnerRejected means that the runner rejected the request without running it.
	RunnerRejected Kind = "runner dropped it"
	// ShuttingDown means that the process is shutting down.
	ShuttingDown Kind = "stopping"
	// DuplicateRequest means that the ID of the request was used before.
	DuplicateRequest Kind = "already taken"
	// OutcomeUnknown means that it is not known whether the request has run.
	OutcomeUnknown Kind = "outcome unknown"
	// InvalidResponse means that the runner's response is incomplete or invalid.
	InvalidResponse Kind = "broken answer"
	// ClientDisconnected means that the client closed the connection.
	ClientDisconnected Kind = "sender gone"
)

// Kinds that operators see.
const (
	// StaleBase means that the change is based on a revision that is not the active one.
	StaleBase Kind = "stale base"
	// MissingBase means that the change does not state the revision that it is based on.
	MissingBase Kind = "no base"
	// FaultyDescription means that the configuration or description has faults.
	FaultyDescription Kind = "faulty description"
	// NotAccepted means that the change was not accepted and had no effect.
	NotAccepted Kind = "not taken"
	// NotPrimary means that this controller is not the primary.
	NotPrimary Kind = "not the primary"
	// AcceptanceUnknown means that the change may have been accepted or not.
	AcceptanceUnknown Kind = "acceptance unknown"
	// NotBootstrapped means that the site has not been bootstrapped yet.
	NotBootstrapped Kind = "not founded"
	// AlreadyBootstrapped means that the site was bootstrapped before.
	AlreadyBootstrapped Kind = "already founded"
)

// Kinds that a daemon counts when it rejects a message from another daemon.
const (
	// StaleEpoch means that the epoch of the sender is lower than one that is already
	// known.
	StaleEpoch Kind = "lower epoch"
	// WrongSite means that the sender belongs to another site.
	WrongSite Kind = "other site"
	// Malformed means that the message cannot be decoded, or its type or content is not
	// valid.
	Malformed Kind = "malformed"
	// WrongDaemon means that the message is addressed to another daemon.
	WrongDaemon Kind = "other daemon"
	// NotHeld means that the runner does not hold the model or adapter.
	NotHeld Kind = "not held"
	// StaleRevision means that the message refers to a revision that has been replaced.
	StaleRevision Kind = "stale revision"
	// WrongIncarnation means that the runner at the address has another incarnation than
	// expected.
	WrongIncarnation Kind = "other incarnation"
	// StaleMessage means that the message is stale. A newer one has superseded it, or it
	// was delayed for too long.
	StaleMessage Kind = "overtaken message"
	// NotInitialDisk means that the disk is not one of those that the site was first
	// started with.
	NotInitialDisk Kind = "not a disk of the first start"
	// NoQuorumContact means that the daemon is not in contact with a majority of the
	// site.
	NoQuorumContact Kind = "no contact with a majority"
	// InputQueueFull means that the queue of inputs is full.
	InputQueueFull Kind = "ring full"
)
