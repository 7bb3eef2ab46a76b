//! Stand-ins for the platform and the endpoints, with faults to switch on.
