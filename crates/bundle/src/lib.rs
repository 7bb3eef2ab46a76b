//! Bundle schema, checks, signatures and the fold of the configuration stream.
