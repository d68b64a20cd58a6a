//! The protocols, explored exhaustively: every state that small models of them can reach.

mod claim;
mod job;
mod lease;
mod search;
