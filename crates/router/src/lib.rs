//! The router: callers on one side, endpoints on the other, peers beside.
