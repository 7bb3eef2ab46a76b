//! State decisions: claims, membership, leases, orders, drain.
