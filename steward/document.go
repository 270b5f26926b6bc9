package steward

import "myrtlewinch/servicemap"

// Document is a service map that was read.
type Document = servicemap.Map
