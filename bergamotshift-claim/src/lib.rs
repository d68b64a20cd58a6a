//! At-most-once claims, idempotency records, deferred jobs and leases as state machines without I/O.
