package controller

import "myrtlewinch/internal/config"

// Document is a service map that was read.
type Document = config.Map
