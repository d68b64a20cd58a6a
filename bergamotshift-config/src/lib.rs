//! The operators' folder: typed parsing, validation, merge, diff, versions and their acceptance.
