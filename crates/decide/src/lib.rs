//! Traffic decisions: placement, load bound, queues, limits, retries, quarantine.
