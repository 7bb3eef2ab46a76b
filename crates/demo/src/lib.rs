//! A whole fleet on loopback in one process, with load and faults.
