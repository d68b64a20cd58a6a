//! Capacity, placement and work-stealing policies without I/O.
