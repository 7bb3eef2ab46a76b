//! Histories of concurrent runs and the checker that reads them.
