//! The kernel's policies replayed in virtual time against a small engine model.
