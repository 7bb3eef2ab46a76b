//! Messages between instances, their authentication, and header names.
