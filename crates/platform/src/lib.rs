//! Clients of the platform and the timer service.
