package transport

// HTTP statuses of responses, both of this service and of the services that it calls.
const (
	StatusOK                 = 200
	StatusCreated            = 201
	StatusNoContent          = 204
	StatusBadRequest         = 400
	StatusNotFound           = 404
	StatusMethodNotAllowed   = 405
	StatusTimeout            = 408
	StatusConflict           = 409
	StatusGone               = 410 // from the state service: the requested revision is compacted
	StatusContentTooLarge    = 413
	StatusURITooLong         = 414
	StatusMisdirected        = 421 // the client must contact another controller
	StatusUnprocessable      = 422
	StatusTooManyRequests    = 429
	StatusHeaderTooLarge     = 431
	StatusInternalError      = 500
	StatusNotImplemented     = 501
	StatusUnavailable        = 503
	StatusVersionUnsupported = 505
)
