//! The operators tool: keys, checks, signatures, rolls.
