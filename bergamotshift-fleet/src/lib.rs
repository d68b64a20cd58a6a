//! Membership, failure detection, leaving marks and handover placement without I/O.
