package main

// #include <stdlib.h>
import "C"

// The platform requires programs that are linked against the system's C library.
// Importing C is enough for that; no C function is called.
