package main

// #include <stdlib.h>
import "C"

// The platform asks for programs that link against the system's C library; the
// import alone does it.
