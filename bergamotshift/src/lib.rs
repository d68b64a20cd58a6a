//! The façade and the one binary of bergamotshift.
